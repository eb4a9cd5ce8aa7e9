// Package soak runs the real nodes as separate processes against stand-ins of the platform, injects faults from outside them
// by a plan made from a seed, and checks what clients and workers are promised. It has no code outside its tests.
package soak

// Package roster plays the platform's list of instances, which shows changes late.
package roster

// Package entry calls entry instances in turn and tells what is known of each call's effect.
package entry

// Package entry calls entry instances in turn and reports what is known of each call's effect.
package entry

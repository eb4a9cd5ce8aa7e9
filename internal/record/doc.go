// Package record defines the operations that entry instances write to the platform's log, and their encoding.
package record

// Package mixes draws seeded mixes of both users' work, with declared sizes and run times that are far off.
package mixes

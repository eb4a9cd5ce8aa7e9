package fits_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutuswing.example/bench/internal/fits"
)

// A wrong fit would put wrong slopes into docs/CAPACITY.md.
func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []fits.Point
		want   fits.Line
	}{
		{"none", nil, fits.Line{}},
		{"one", []fits.Point{{X: 3, Y: 5}}, fits.Line{Intercept: 5}},
		{"exact", []fits.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}}, fits.Line{Slope: 2, Intercept: 3}},
		{"bent", []fits.Point{{X: 0, Y: 0}, {X: 1, Y: 3}, {X: 2, Y: 0}}, fits.Line{Intercept: 1, MaxDeviation: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, fits.Fit(test.points), test.want)
		})
	}
}

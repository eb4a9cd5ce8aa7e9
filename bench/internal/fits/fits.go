package fits

import "math"

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is the least-squares line through a set of points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// MaxDeviation is the largest distance of a point from the line, in the unit of Y.
	MaxDeviation float64 `json:"largest-deviation"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Series is a cost measured at several sizes, with the line fitted to it.
type Series struct {
	Name string `json:"name"`
	// Size says what X counts, and Unit is the unit of Y.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

// New returns a series with the line fitted to its points.
func New(name, size, unit string, points []Point) Series {
	return Series{Name: name, Size: size, Unit: unit, Points: points, Line: Fit(points)}
}

// Fit returns the least-squares line; it has slope 0 if all points have the same X, and is zero without points.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	line := Line{Intercept: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanY - line.Slope*meanX
	}
	for _, p := range points {
		line.MaxDeviation = max(line.MaxDeviation, math.Abs(p.Y-line.At(p.X)))
	}
	return line
}

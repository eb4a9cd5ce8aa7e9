package fits

import "math"

// Point is one measurement: a cost at a size.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is the least-squares line through points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Deviation is the largest distance of a point from the line, in the unit of Y.
	Deviation float64 `json:"largest-deviation"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Series is a cost measured at several sizes, with its line.
type Series struct {
	Name string `json:"name"`
	// Size names what X counts, and Unit the unit of Y.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

// New returns the series of the points with its line.
func New(name, size, unit string, points []Point) Series {
	return Series{Name: name, Size: size, Unit: unit, Points: points, Line: Fit(points)}
}

// Fit returns the least-squares line; points at one single size have the slope 0.
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
		line.Deviation = max(line.Deviation, math.Abs(p.Y-line.At(p.X)))
	}
	return line
}

package fits

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the series as a Markdown table with one row per series.
func Print(out io.Writer, series []Series) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	rows := make([]string, 0, len(series)+2)
	rows = append(rows,
		"| what\t| per\t| unit\t| measured (size: value)\t| slope\t| intercept\t| largest deviation\t|",
		"|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, s := range series {
		rows = append(rows, fmt.Sprintf("| %s\t| %s\t| %s\t| %s\t| %s\t| %s\t| %s\t|", s.Name, s.Size, s.Unit,
			formatPoints(s.Points), FormatNumber(s.Line.Slope), FormatNumber(s.Line.Intercept),
			FormatNumber(s.Line.MaxDeviation)))
	}
	if _, err := fmt.Fprintln(w, strings.Join(rows, "\n")); err != nil {
		return fmt.Errorf("printing slopes: %w", err)
	}
	return w.Flush()
}

func formatPoints(list []Point) string {
	parts := make([]string, len(list))
	for i, p := range list {
		parts[i] = FormatNumber(p.X) + ": " + FormatNumber(p.Y)
	}
	return strings.Join(parts, "; ")
}

// FormatNumber formats whole numbers and values of at least 1000 without decimals, and other values with four
// significant digits.
func FormatNumber(v float64) string {
	switch {
	case v == float64(int64(v)) && v < 1e9 && v > -1e9, v >= 1000, v <= -1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.4g", v)
	}
}

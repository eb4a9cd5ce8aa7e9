package story

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrNoLine reports that the logs contain no line about the job.
var ErrNoLine = errors.New("no log line is about this job")

const (
	eventSubmitted = "job submitted"
	eventTaken     = "job-taken"
	accepted       = "accepted"
)

// ClockLags estimates by how much the clocks of owners lag behind those of the nodes that stored jobs. An owner can't take
// over a job before the job is stored: if an owner's lines say that it did, its lag is the largest such difference.
func (l *Log) ClockLags() map[string]time.Duration {
	stored := make(map[string]Line)
	for _, line := range l.Lines {
		if line.Name == eventSubmitted && line.Get("outcome") == accepted {
			if _, known := stored[line.Job()]; !known {
				stored[line.Job()] = line
			}
		}
	}
	lags := make(map[string]time.Duration)
	for _, line := range l.Lines {
		submitted, ok := stored[line.Job()]
		if line.Name != eventTaken || !ok || submitted.Node == line.Node {
			continue
		}
		// The job may have been stored, and read by the owner, at any time since the submission began.
		took, err := time.ParseDuration(submitted.Get("took"))
		if err != nil {
			took = 0
		}
		if behind := submitted.Time.Add(-took).Sub(line.Time); behind > lags[line.Node] {
			lags[line.Node] = behind
		}
	}
	return lags
}

// WriteHistory writes all lines about a job in chronological order, with the clock lags of owners corrected. If around is
// positive, it also writes the lines that name no job, marked with ~, from this long before the job's first line to this
// long after its last. It returns ErrNoLine if no line is about the job.
func (l *Log) WriteHistory(out io.Writer, job string, around time.Duration) error {
	lags := l.ClockLags()
	correctedTime := func(line Line) time.Time { return line.Time.Add(lags[line.Node]) }
	var lines []Line
	for _, line := range l.Lines {
		if line.Job() == job {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("%w: %s", ErrNoLine, job)
	}
	first, last := correctedTime(lines[0]), correctedTime(lines[0])
	for _, line := range lines {
		if at := correctedTime(line); at.Before(first) {
			first = at
		} else if at.After(last) {
			last = at
		}
	}
	if around > 0 {
		from, to := first.Add(-around), last.Add(around)
		for _, line := range l.Lines {
			if at := correctedTime(line); line.Job() == "" && !at.Before(from) && !at.After(to) {
				lines = append(lines, line)
			}
		}
	}
	lines = merge(lines, correctedTime)
	for _, line := range lines {
		mark := " "
		if line.Job() == "" {
			mark = "~"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs %-20s %s%s\n", mark, correctedTime(line).Sub(first).Seconds(), line.Node,
			line.Name, formatFields(line)); err != nil {
			return err
		}
	}
	return l.writeSummary(out, len(lines), lags)
}

// merge sorts lines by time but keeps the order of each node's lines, because the node's clock may jump.
func merge(lines []Line, correctedTime func(Line) time.Time) []Line {
	byNode := make(map[string][]Line)
	for _, line := range lines {
		byNode[line.Node] = append(byNode[line.Node], line)
	}
	for _, nodeLines := range byNode {
		slices.SortFunc(nodeLines, func(a, b Line) int { return a.order - b.order })
	}
	merged := make([]Line, 0, len(lines))
	for len(merged) < len(lines) {
		var earliest []Line
		for _, nodeLines := range byNode {
			if len(nodeLines) == 0 {
				continue
			}
			if earliest == nil || correctedTime(nodeLines[0]).Before(correctedTime(earliest[0])) ||
				(correctedTime(nodeLines[0]).Equal(correctedTime(earliest[0])) && nodeLines[0].order < earliest[0].order) {
				earliest = nodeLines
			}
		}
		merged = append(merged, earliest[0])
		byNode[earliest[0].Node] = earliest[1:]
	}
	return merged
}

// formatFields formats the fields of a line except for the job.
func formatFields(line Line) string {
	var text strings.Builder
	for _, f := range line.Fields {
		if f.Key != "job" {
			fmt.Fprintf(&text, " %s=%s", f.Key, f.Value)
		}
	}
	return text.String()
}

func (l *Log) writeSummary(out io.Writer, written int, lags map[string]time.Duration) error {
	if _, err := fmt.Fprintf(out, "%d of %d lines shown, %d skipped\n", written, len(l.Lines), l.Skipped); err != nil {
		return err
	}
	nodes := make([]string, 0, len(lags))
	for node := range lags {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	for _, node := range nodes {
		if _, err := fmt.Fprintf(out, "the clock of %s is assumed to be %s behind\n", node, lags[node]); err != nil {
			return err
		}
	}
	return nil
}

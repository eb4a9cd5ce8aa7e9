package story

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine is the maximum length of a line in bytes; a state dump of a large deployment is a single line.
const maxLine = 16 << 20

// Line is an event in a process's log.
type Line struct {
	Time time.Time
	Node string
	Name string
	// Fields holds the remaining fields in the order of the line, without the level.
	Fields []Field
	// order is the position in the input. It determines the order of a node's lines, because the node's clock may jump.
	order int
}

// Field is a key with its value.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a field, or an empty string if the line lacks it.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Job returns the ID of the job that the line is about, or an empty string.
func (l Line) Job() string { return l.Get("job") }

// Log holds the lines of several logs.
type Log struct {
	Lines []Line
	// Skipped counts lines that are not events, such as truncated lines and lines of other programs.
	Skipped int
}

// Read adds the lines of a log. It returns an error if reading fails or a line exceeds 16 MiB.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			if strings.TrimSpace(scanner.Text()) != "" {
				l.Skipped++
			}
			continue
		}
		line.order = len(l.Lines)
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading a log: %w", err)
	}
	return nil
}

// parse decodes the key=value pairs of a line from the timestamp on, and ignores prefixes that other programs put before
// it. It returns false if the line is not an event.
func parse(text string) (Line, bool) {
	at := strings.Index(text, "ts=")
	if at < 0 {
		return Line{}, false
	}
	var line Line
	decoder := logfmt.NewDecoderSize(strings.NewReader(text[at:]), len(text)+1)
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if !line.addField(string(decoder.Key()), string(decoder.Value())) {
				return Line{}, false
			}
		}
	}
	return line, decoder.Err() == nil && line.Name != ""
}

// addField adds a field to the line; it returns false if the field is an invalid timestamp.
func (l *Line) addField(key, value string) bool {
	switch key {
	case "ts":
		moment, err := time.Parse("2006-01-02T15:04:05.000Z0700", value)
		if err != nil {
			return false
		}
		l.Time = moment
	case "msg":
		l.Name = value
	case "node":
		l.Node = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
	return true
}

package story

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine is the longest line that is read, in bytes: a state dump of a large deployment is one line.
const maxLine = 16 << 20

// Line is one event of a process's log.
type Line struct {
	Time time.Time
	Node string
	Name string
	// Fields holds the other fields in their order.
	Fields []Field
	// order is the position in the input; it decides within one process, whose clock may jump.
	order int
}

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a field, or an empty text.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Job returns the identifier of the job that the line is about, or an empty text.
func (l Line) Job() string { return l.Get("job") }

// Log is what was read of several logs.
type Log struct {
	Lines []Line
	// Skipped counts lines that are no events, such as cut ones or those of other programs.
	Skipped int
}

// Read adds the lines of one log.
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

// parse reads key=value pairs from the first time stamp on; what stands before it is another program's prefix.
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

// addField takes a field in; it returns false for a time that can't be read.
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

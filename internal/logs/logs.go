package logs

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events at or above level ("debug", "info", "warn" or "error") to w. It returns an error
// if the level is unknown.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parsing log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	// By default, the encoder prints times as floating-point numbers.
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(encoder{zaplogfmt.NewEncoder(encoding)}, zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// encoder encodes values that zap passes by reflection, such as slices and structs, as strings: the logfmt encoder panics
// on some of them, which would end the process.
type encoder struct{ zapcore.Encoder }

// Clone returns a copy of the encoder.
func (e encoder) Clone() zapcore.Encoder { return encoder{e.Encoder.Clone()} }

// AddReflected adds the value as a string.
func (e encoder) AddReflected(key string, value any) error {
	e.AddString(key, fmt.Sprintf("%+v", value))
	return nil
}

// EncodeEntry encodes one event.
func (e encoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	printable := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if field.Type == zapcore.ReflectType {
			field = zap.String(field.Key, fmt.Sprintf("%+v", field.Interface))
		}
		printable[i] = field
	}
	return e.Encoder.EncodeEntry(entry, printable)
}

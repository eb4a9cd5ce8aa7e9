package logs

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events at or above level ("debug", "info", "warn" or "error") to w; it returns an
// error for any other level.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parsing log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	// The encoder's default prints times as floats.
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(encoder{zaplogfmt.NewEncoder(encoding)}, zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// encoder prints values that zap hands on unread, such as slices and structs, as text: the logfmt encoder panics on some
// of them, which would end the process.
type encoder struct{ zapcore.Encoder }

// Clone copies the encoder.
func (e encoder) Clone() zapcore.Encoder { return encoder{e.Encoder.Clone()} }

// AddReflected adds the value as text.
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

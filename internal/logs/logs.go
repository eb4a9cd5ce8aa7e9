package logs

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
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
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

package app

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"mastchute/internal/config"
)

const (
	logBufferLines  = 10_000 // buffered while the log's reader is slow; further lines are dropped and counted
	logPollInterval = 5 * time.Millisecond
)

// NewLogger returns a logger that never blocks its callers, and a function that flushes and closes it. It is safe for
// concurrent use.
func NewLogger(settings config.Log, out io.Writer) (log zerolog.Logger, closeLog func()) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	buffer := diode.NewWriter(out, logBufferLines, logPollInterval, func(dropped int) {
		fmt.Fprintf(out, "{\"level\":\"warn\",\"dropped_log_lines\":%d}\n", dropped)
	})
	var formatted io.Writer = buffer
	if settings.Format == "text" {
		formatted = zerolog.ConsoleWriter{Out: buffer, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	log = withLevel(zerolog.New(formatted), settings).With().Timestamp().Logger()
	return log, func() { buffer.Close() }
}

// withLevel returns the logger with the level from settings, or with info level if that is invalid.
func withLevel(log zerolog.Logger, settings config.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return log.Level(level)
}

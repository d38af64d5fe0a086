// Package logs builds the daemon's logger: zerolog that writes one line of
// key=value pairs per event.
//
// # Usage
//
//	log := logs.New(os.Stderr, "info")
//	log.Info().Str("host", "entry-1").Msg("daemon started")
//
// prints
//
//	time=2026-01-02T15:04:05.000Z level=info event="daemon started" host=entry-1
//
// API keys and credentials must never be logged; log their ids instead.
package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of the level and above to w. An empty
// or unknown level means info. New sets zerolog's global time format.
func New(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(keyValueWriter(w)).Level(parsed).With().Timestamp().Logger()
}

// keyValueWriter returns a writer that renders zerolog's JSON events as
// key=value lines. The values of other fields keep zerolog's own quoting.
func keyValueWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: formatPair("time"),
		FormatLevel:     formatPair("level"),
		FormatMessage:   formatPair("event"),
		FormatFieldName: func(value any) string { return fmt.Sprint(value) + "=" },
	}
}

// formatPair returns a formatter that renders a value as name=value, and a
// missing one as nothing.
func formatPair(name string) zerolog.Formatter {
	return func(value any) string {
		if value == nil {
			return ""
		}
		return name + "=" + quoteValue(fmt.Sprint(value))
	}
}

// quoteValue quotes values that are empty or contain separators.
func quoteValue(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\t\n") {
		return strconv.Quote(s)
	}
	return s
}

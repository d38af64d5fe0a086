// Package logs builds the daemon's logger: zerolog with one line of key=value
// pairs for each event.
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
// Keys and credentials are never passed to a logger; only their ids are.
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

// New returns a logger that writes events of the level and above to w.
// An unknown level counts as info.
func New(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(writer(w)).Level(l).With().Timestamp().Logger()
}

func writer(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		FormatTimestamp: pair("time"),
		FormatLevel:     pair("level"),
		FormatMessage:   pair("event"),
		FormatFieldName: func(i any) string { return fmt.Sprint(i) + "=" },
	}
}

func pair(name string) zerolog.Formatter {
	return func(i any) string {
		if i == nil {
			return ""
		}
		return name + "=" + quote(fmt.Sprint(i))
	}
}

func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\t\n") {
		return strconv.Quote(s)
	}
	return s
}

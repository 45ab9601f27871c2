// Package logging sets up the process log, which has one line of key=value pairs per
// event.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes key=value lines to w at the given level.
// An unknown level means "info".
func New(w io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	return New(io.Discard, "panic")
}

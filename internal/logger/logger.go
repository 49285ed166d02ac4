// Package logger configures structured logging: it wraps logrus so that every
// process writes JSON lines of the same format.
//
// Each line has the keys time, level, msg and instance. Lines about an error
// also have step and peer, which the error carries. An [AsyncWriter] keeps a
// blocked output from delaying requests, and a [RateLimiter] limits the lines
// of each kind.
//
// # Usage
//
//	log := logger.New(os.Stderr, "kochi-a-1", logrus.InfoLevel)
//	logger.WithError(log, err).Warn("read of load report failed")
package logger

import (
	"io"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/failer"
)

// Logger is the type of the loggers that are passed to the packages of this module.
type Logger = logrus.FieldLogger

// New returns a logger that writes JSON lines to w. Each line contains the name of the instance.
func New(w io.Writer, instance string, level logrus.Level) Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	return l.WithField("instance", instance)
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// WithError returns log with the fields error, step and peer. Step and peer are omitted if the error carries none.
func WithError(log Logger, err error) Logger {
	log = log.WithField("error", err.Error())
	if s := failer.StepOf(err); s != "" {
		log = log.WithField("step", s)
	}
	if p := failer.PeerOf(err); p != "" {
		log = log.WithField("peer", p)
	}
	return log
}

// SilenceHTTPLibrary turns off the HTTP library's own log, which is not JSON.
func SilenceHTTPLibrary() {
	logging.SetLevel(logging.LevelNone)
}

// Package logger wraps logrus so that every process writes the same JSON lines.
//
// Each line has the keys time, level, msg and instance; lines about an error
// also carry step and peer, taken from the error itself.
//
// # Usage
//
//	log := logger.New(os.Stderr, "kochi-a-1", logger.LevelInfo)
//	logger.WithError(log, err).Warn("could not read the load report")
package logger

import (
	"io"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/failer"
)

// Logger is the logger that packages of this module receive.
type Logger = logrus.FieldLogger

// New returns a logger that writes JSON lines to w with the name of the instance in each.
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

// WithError returns log with the error and the step and peer that it carries.
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

// SilenceHTTPLibrary raises the threshold of the HTTP library's own log, which is not JSON, to errors only.
func SilenceHTTPLibrary() {
	logging.SetLevel(logging.LevelNone)
}

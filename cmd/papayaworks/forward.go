package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/forwarder"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/platform"
)

const forwardHelp = `Runs one entry instance on the platform. It forwards requests unchanged to
targets according to the routes that the operator publishes in the platform's
metadata store. The path of the settings file comes from the environment
variable that the platform sets, unless --settings is given.

Example:
  papayaworks forward --settings local.toml

Exit status: 0 after a graceful stop, 1 on an error, 2 if the command line
is invalid.`

// memoryLimitRatio is the ratio of the garbage collector's soft memory limit to the memory limit of the process. Near the
// soft limit the collector runs more often.
const memoryLimitRatio = 0.7

// logFlushTimeout bounds the time for writing queued log lines when the process stops.
const logFlushTimeout = 200 * time.Millisecond

// settingsPollInterval is the interval at which the settings file is checked for changes.
const settingsPollInterval = 5 * time.Second

type forwardCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings of the process"`
	Level    string `long:"level" default:"info" value-name:"LEVEL" description:"least level of log lines"`
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute([]string) error {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	set, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	if n := set.Instance.MemoryBytes; n > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(n)))
	}
	out := logger.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := logger.New(out, set.Instance.Instance, level)
	logFaults(log, set)
	ctx, stop := signalContext()
	defer stop()
	s := set.Server(log)
	s.DroppedLogLines = out.Dropped
	go c.reload(ctx, s, log)
	return s.Run(ctx)
}

// reload applies the settings file to s on SIGHUP and whenever the file has changed, until ctx is done. Invalid settings
// are logged, and the previous ones stay in force.
func (c *forwardCommand) reload(ctx context.Context, s *forwarder.Server, log logger.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	last, _ := os.ReadFile(c.Settings)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			forced = true
		case <-t.C:
		}
		text, err := os.ReadFile(c.Settings)
		if err != nil || !forced && bytes.Equal(text, last) {
			continue
		}
		last = text
		set, err := platform.ParseSettings(string(text))
		if err != nil {
			logger.WithError(log, err).Error("settings rejected; previous settings stay in force")
			continue
		}
		logFaults(log, set)
		s.Reload(set.Instance)
	}
}

// logFaults logs the values of the settings file that could not be used.
func logFaults(log logger.Logger, set *platform.Settings) {
	for _, f := range set.Faults {
		log.WithField("key", f.Key).WithField("value", f.Value).WithField("allowed", f.Allowed).Warn("setting cannot be used")
	}
}

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

const forwardHelp = `Runs one entry instance on the platform: calls are forwarded unchanged to
targets by the routes that the operator publishes in the platform's store.
The settings file is the one that the platform names; --settings names
another.

Example:
  papayaworks forward --settings local.toml

Exit status: 0 after a graceful stop, 1 on an error, 2 if the command line
is wrong.`

// memoryLimitRatio is the part of the memory limit at which the collector works harder.
const memoryLimitRatio = 0.7

// logFlushTimeout bounds the writing of the last log lines.
const logFlushTimeout = 200 * time.Millisecond

// settingsPollInterval is the time between two looks at the settings file.
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
	ctx, stop := signalContext()
	defer stop()
	s := set.Server(log)
	s.DroppedLogLines = out.Dropped
	go c.reload(ctx, s, log)
	return s.Run(ctx)
}

// reload reads the settings again when SIGHUP comes or the file has changed.
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
			logger.WithError(log, err).Error("settings were not taken; the earlier ones stay in force")
			continue
		}
		s.Reload(set.Instance)
	}
}

package main

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/server"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const runHelp = `Runs one entry instance until it receives SIGTERM or SIGINT, then stops
gracefully: it accepts no new requests and exits when the last one has been
answered, at the latest after timing.drainMs of the configuration.

Example:
  papayaworks run --config instance.toml

Exit status: 0 after a graceful stop, 1 on an error or if the stop aborted
requests, 2 if the command line is invalid.`

// eventBufferSize is the number of events that an instance holds in memory.
const eventBufferSize = 4096

type runCommand struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings of the instance (TOML)"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	set, err := configurer.LoadSettings(c.Config)
	if err != nil {
		return err
	}
	cfg, err := loadInitial(set)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(set.Logging.Level)
	if err != nil {
		return err
	}
	log := logger.New(os.Stderr, set.Instance.ID, level)
	clk := recorder.NewClock(time.Now)
	rec := recorder.New(clk, set.Instance.ID, eventBufferSize, nil)
	if set.Logging.EventFile != "" {
		f, err := os.OpenFile(set.Logging.EventFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		rec = recorder.New(clk, set.Instance.ID, eventBufferSize, f)
	}
	ctx, stop := signalContext()
	defer stop()
	return server.New(set, cfg, log, rec, &asserter.Asserter{Log: log, Recorder: rec}).Run(ctx)
}

// loadInitial reads the initial configuration from the file in the settings, or returns an empty one with defaults.
func loadInitial(set *configurer.Settings) (*configurer.Config, error) {
	if set.Configuration == "" {
		cfg := new(configurer.Config)
		cfg.SetDefaults()
		return cfg, nil
	}
	text, err := os.ReadFile(set.Configuration)
	if err != nil {
		return nil, err
	}
	return configurer.Parse(set.Configuration, string(text))
}

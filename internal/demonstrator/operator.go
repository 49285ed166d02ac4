package demonstrator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// pollInterval is the interval between checks of a condition.
const pollInterval = 20 * time.Millisecond

// Publish publishes a changed copy of the deployment's configuration, based on version base, and returns the new version. Like
// the command publish it fails if another version was published since.
func (d *Deployment) Publish(ctx context.Context, base int64, author string, change func(*configurer.Config)) (int64, error) {
	text, err := encode(d.Config)
	if err != nil {
		return 0, err
	}
	cfg, err := configurer.Parse("published", text)
	if err != nil {
		return 0, err
	}
	change(cfg)
	if text, err = encode(cfg); err != nil {
		return 0, err
	}
	v, err := versioner.Publish(ctx, &appender.Client{Addr: d.Log.Addr}, base, author, text)
	if err == nil {
		d.Config = cfg
	}
	return v, err
}

func encode(cfg *configurer.Config) (string, error) {
	var b strings.Builder
	err := toml.NewEncoder(&b).Encode(cfg)
	return b.String(), err
}

// AwaitConfigVersion waits until every running instance uses the given or a later version of the configuration.
func (d *Deployment) AwaitConfigVersion(ctx context.Context, version int64) error {
	return waitFor(ctx, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, in := range d.Instances {
			if in.ctx.Err() == nil && in.Server.View().ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

// AwaitWeightVersion waits until every engine that is neither leaving nor killed serves the given weight version.
func (d *Deployment) AwaitWeightVersion(ctx context.Context, version int64) error {
	return waitFor(ctx, fmt.Sprintf("weight version %d served everywhere", version), func() bool {
		for _, e := range d.Engines {
			if !e.Converged(d.Spec.Model, version) {
				return false
			}
		}
		return true
	})
}

// waitFor polls a condition until it holds. It returns an error that names the condition if ctx ends first.
func waitFor(ctx context.Context, what string, holds func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("condition %q does not hold: %w", what, ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

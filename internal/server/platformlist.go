package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// listTimeout bounds one read of the platform's list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the list; 420 instances and 830 targets take about 150 KB.
	maxListBytes = 4 << 20
	listInstance = "instance"
	listTarget   = "target"
)

// listed is one entry of the platform's list.
type listed struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// followList reads the platform's list from time to time. The list lags, so it only seeds the membership and adds marks.
func (m *membership) followList(ctx context.Context) {
	if m.s.Settings.Platform.List == "" {
		return
	}
	go func() {
		for {
			m.expire(time.Now())
			if err := m.readList(ctx); err != nil && ctx.Err() == nil {
				logger.WithError(m.s.Log, err).Info("platform's list not read")
			}
			t := time.NewTimer(listEvery(m.s.control.View()))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
	}()
}

// listEvery is the time between two reads of this instance. The list grows with the deployment: read every 5 s by each
// of 420 instances, its 128 KB would take 26 KB/s. Marks are passed on, so it is enough that the instances together
// read as often as the largest deployment in which each reads at the full rate.
func listEvery(v *view.View) time.Duration {
	n := (len(live(v, "")) + pollAllUpTo - 1) / pollAllUpTo
	return configurer.Milliseconds(v.Config.Timing.ListMs) * time.Duration(max(1, n))
}

func (m *membership) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	addr := m.s.Settings.Platform.List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/instances", nil)
	if err != nil {
		return failer.Wrap(err, "read the list of", addr, "list")
	}
	res, err := m.s.client.HTTP().Do(req)
	if err != nil {
		return failer.Wrap(err, "read the list of", addr, "list")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return failer.Wrap(&dialer.StatusError{Status: res.StatusCode}, "read the list of", addr, "list")
	}
	var body struct {
		Instances []listed `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&body); err != nil {
		return failer.Wrap(err, "read the list of", addr, "list")
	}
	m.applyList(body.Instances)
	return nil
}

func (m *membership) applyList(entries []listed) {
	var seeds []string
	for _, e := range entries {
		switch e.Kind {
		case listInstance:
			if !e.Leaving {
				seeds = append(seeds, e.Address)
			}
		case listTarget:
			m.observed(m.listed, e.ID, e.Leaving)
		}
	}
	if m.joined() {
		m.g.SetExtraSeeds(seeds)
	}
}

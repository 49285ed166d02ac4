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
	// listTimeout bounds one request for the platform's list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the size of the list; 420 instances and 830 targets take about 128 KB.
	maxListBytes = 4 << 20
	listInstance = "instance"
	listTarget   = "target"
)

// listEntry is one entry of the platform's list, which names the instances and targets, including leaving ones.
type listEntry struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// pollList starts polling the platform's list until ctx ends. The list lags behind the true state, so it is used only for
// the seeds of the membership and for leaving marks.
func (m *membership) pollList(ctx context.Context) {
	if m.s.Settings.Platform.List == "" {
		return
	}
	go func() {
		for {
			m.expireMarks(time.Now())
			if err := m.fetchList(ctx); err != nil && ctx.Err() == nil {
				logger.WithError(m.s.Log, err).Info("read the platform's list failed")
			}
			t := time.NewTimer(listInterval(m.s.control.View()))
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
	}()
}

// listInterval returns the time between two requests of this instance for the list. The list grows with the deployment:
// requested every 5 s by each of 420 instances, its 128 KB would take 26 KB/s. Leaving marks are broadcast, so the
// instances together need no more requests than a deployment of pollAllMaxMembers instances.
func listInterval(v *view.View) time.Duration {
	n := (len(liveMemberIDs(v, "")) + pollAllMaxMembers - 1) / pollAllMaxMembers
	return configurer.Milliseconds(v.Config.Timing.ListMs) * time.Duration(max(1, n))
}

func (m *membership) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	addr := m.s.Settings.Platform.List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/instances", nil)
	if err != nil {
		return failer.Wrap(err, "read the list from", addr, "list")
	}
	res, err := m.s.client.HTTP().Do(req)
	if err != nil {
		return failer.Wrap(err, "read the list from", addr, "list")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return failer.Wrap(&dialer.StatusError{Status: res.StatusCode}, "read the list from", addr, "list")
	}
	var body struct {
		Instances []listEntry `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&body); err != nil {
		return failer.Wrap(err, "read the list from", addr, "list")
	}
	m.applyList(body.Instances)
	return nil
}

// applyList passes the addresses of the listed instances to the gossiper as seeds and updates the leaving marks of the
// listed targets.
func (m *membership) applyList(entries []listEntry) {
	var seeds []string
	for _, e := range entries {
		switch e.Kind {
		case listInstance:
			if !e.Leaving {
				seeds = append(seeds, e.Address)
			}
		case listTarget:
			m.setObserved(m.listedLeaving, e.ID, e.Leaving)
		}
	}
	if m.joined() {
		m.g.SetExtraSeeds(seeds)
	}
}

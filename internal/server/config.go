package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// PublishedConfig is the JSON body of the admin page /config.
type PublishedConfig struct {
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	Hash    string `json:"hash"`
	Text    string `json:"text"`
}

// startLog starts the ledger, the follower of the published configuration and the swapper if the settings contain the
// address of a log.
func (s *Server) startLog(ctx context.Context) {
	if s.Settings.Platform.Log == "" {
		return
	}
	log := &appender.Client{Addr: s.Settings.Platform.Log, HTTP: s.client.HTTP()}
	settings := s.Initial.Ledger
	retention := time.Duration(settings.RetentionMinutes) * time.Minute
	s.ledger = &ledger.Ledger{
		Log: log, Owner: s.Settings.Instance.ID, Partitions: settings.Partitions,
		Retention: retention, AppendsPerSec: float64(settings.AppendsPerSecond),
		InstanceCount: s.liveMembers, Asserter: s.Asserter, Recorder: s.Recorder, ErrorLog: s.Log,
	}
	s.ledger.Start(ctx)
	s.versions = versioner.New(log, retention)
	s.versions.Asserter, s.versions.Recorder, s.versions.ErrorLog = s.Asserter, s.Recorder, s.Log
	s.versions.OnAdopt = s.onAdopted
	s.configSource = peerConfigSource{versions: s.versions}
	go s.versions.Run(ctx)
	s.startSwapper(ctx, log)
}

// onAdopted makes an accepted configuration version the active one. Requests in progress keep the view that they started
// with.
func (s *Server) onAdopted(a versioner.AcceptedVersion) {
	s.Log.WithField("version", a.Version()).Info("configuration adopted")
	if a.Config.Ledger != s.Initial.Ledger {
		s.Log.WithField("version", a.Version()).Warn("ledger settings changed; they apply after a restart of the instance")
	}
	s.control.Update(func(v *view.View) *view.View {
		if a.Version() <= v.ConfigVersion {
			return v
		}
		return v.WithConfig(a.Config, a.Version())
	})
}

// ledgerFor returns the ledger for a version of the configuration. Instances with different numbers of partitions would
// look for the same key in different streams, so if the version has another number than the running ledger, ledgerFor
// returns nil, and non-repeatable calls are refused.
func (s *Server) ledgerFor(cfg *configurer.Config) *ledger.Ledger {
	if s.ledger == nil || cfg.Ledger.Partitions != s.ledger.Partitions {
		return nil
	}
	return s.ledger
}

// flushLedger waits until the outcomes of finished calls are on the log, so that retries at other instances find them.
func (s *Server) flushLedger(ctx context.Context) {
	if s.ledger == nil {
		return
	}
	if err := s.ledger.Flush(ctx); err != nil {
		logger.WithError(s.Log, err).Warn("write outcomes of non-repeatable calls to the log failed")
	}
}

// liveMembers returns the number of instances that share the log's append budget, which is 1 without peers.
func (s *Server) liveMembers() int { return s.control.View().LiveMemberCount() }

// Versioner returns the follower of the published configuration, or nil without a log.
func (s *Server) Versioner() *versioner.Versioner { return s.versions }

// config serves the active configuration: the published one, or the initial one before any was received.
func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	out := PublishedConfig{}
	if s.versions != nil {
		if r := s.versions.CurrentSnapshot(); r != nil {
			out = PublishedConfig{Version: r.Version, Author: r.Author, Hash: r.Hash, Text: r.Text}
		}
	}
	if out.Version == 0 {
		var b strings.Builder
		if err := toml.NewEncoder(&b).Encode(s.Initial); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		out.Text, out.Hash = b.String(), versioner.HashText(b.String())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// peerConfigSource exchanges configuration records with peers, so that an instance with an earlier version receives the
// current one even if it cannot reach the log.
type peerConfigSource struct {
	versions *versioner.Versioner
}

// Current implements gossiper.ConfigSource.
func (p peerConfigSource) Current() []byte {
	r := p.versions.CurrentSnapshot()
	if r == nil {
		return nil
	}
	return r.Encode()
}

// Adopt implements gossiper.ConfigSource.
func (p peerConfigSource) Adopt(record []byte) error {
	_, err := p.versions.MergeEncoded(record)
	return err
}

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

// PublishedConfig is the body of the page /config.
type PublishedConfig struct {
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
	Hash    string `json:"hash"`
	Text    string `json:"text"`
}

// startLog follows the configuration and prepares the ledger if the settings name a log.
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
	s.versions.OnAdopt = s.adopted
	s.records = peerRecords{versions: s.versions}
	go s.versions.Run(ctx)
	s.startOrders(ctx, log)
}

// adopted brings a version into force; requests that have begun keep the view that they started with.
func (s *Server) adopted(a versioner.AcceptedVersion) {
	s.Log.WithField("version", a.Version()).Info("configuration adopted")
	if a.Config.Ledger != s.Initial.Ledger {
		s.Log.WithField("version", a.Version()).Warn("settings of the ledger differ from those that the instance started with; they apply after a restart")
	}
	s.control.Update(func(v *view.View) *view.View {
		if a.Version() <= v.ConfigVersion {
			return v
		}
		return v.WithConfig(a.Config, a.Version())
	})
}

// ledgerFor returns the ledger for a version of the configuration. Instances that divide keys into different numbers
// of partitions would look for the same key in different streams, so an instance whose number differs has none and
// refuses calls that may not be repeated.
func (s *Server) ledgerFor(cfg *configurer.Config) *ledger.Ledger {
	if s.ledger == nil || cfg.Ledger.Partitions != s.ledger.Partitions {
		return nil
	}
	return s.ledger
}

// flushLedger waits until the outcomes of finished calls are on the log, so that retries elsewhere find them.
func (s *Server) flushLedger(ctx context.Context) {
	if s.ledger == nil {
		return
	}
	if err := s.ledger.Flush(ctx); err != nil {
		logger.WithError(s.Log, err).Warn("outcomes of non-repeatable calls were not written before the stop")
	}
}

// liveMembers is the number of instances that share the log's append budget; without a membership it is one.
func (s *Server) liveMembers() int { return s.control.View().LiveMemberCount() }

// Versions returns the instance's state of the configuration, for peers; nil without a log.
func (s *Server) Versions() *versioner.Versioner { return s.versions }

// config answers with the configuration in force.
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

// peerRecords hands the configuration record in force to peers that are behind and takes theirs.
type peerRecords struct {
	versions *versioner.Versioner
}

// Current implements gossiper.ConfigSource.
func (p peerRecords) Current() []byte {
	r := p.versions.CurrentSnapshot()
	if r == nil {
		return nil
	}
	return r.Encode()
}

// Adopt implements gossiper.ConfigSource.
func (p peerRecords) Adopt(record []byte) error {
	_, err := p.versions.MergeEncoded(record)
	return err
}

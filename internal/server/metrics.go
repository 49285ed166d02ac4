package server

import (
	"net/http"

	"github.com/papayaworks/papayaworks/internal/exporter"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// newMetrics returns the instance's metrics; the gauges read the current view at each scrape.
func (s *Server) newMetrics() *exporter.Metrics {
	return exporter.New(exporter.Gauges{
		ConfigVersion: func() float64 { return float64(s.control.View().ConfigVersion) },
		Members:       func() float64 { return float64(max(1, len(s.control.View().Members))) },
		UsableTargets: func() float64 {
			v, n := s.control.View(), 0
			for _, ct := range v.Config.Targets {
				if t, ok := v.Target(ct.ID); ok && t.Usable() {
					n++
				}
			}
			return float64(n)
		},
	})
}

func (s *Server) metricsPage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.metrics.Write(w)
}

// recordDecision records the reason that a step gave for its decision as an event, counts it and clears it from the
// request.
func (s *Server) recordDecision(r *request.Request, st request.Step) {
	if r.Reason == "" {
		return
	}
	s.record(r, st.String(), "", r.Reason)
	s.metrics.RecordDecision(st.String(), r.Reason)
	r.Reason = ""
}

// recordTargetDecision records a decision about a target as an event and counts its reason.
func (s *Server) recordTargetDecision(kind, target, reason string) {
	s.Recorder.Record(recorder.Event{Kind: kind, Target: target, Reason: reason})
	s.metrics.RecordDecision(kind, reason)
}

// recordMetrics records the outcome, the time to first token and the prompt tokens of a finished request.
func (s *Server) recordMetrics(r *request.Request, outcome string) {
	s.metrics.RecordOutcome(outcome)
	if !r.FirstTokenAt.IsZero() {
		s.metrics.RecordFirstToken(r.FirstTokenAt.Sub(r.ReceivedAt))
	}
	if r.RunStart != nil && r.Resume == nil {
		s.metrics.RecordPromptTokens(r.RunStart.RecomputedTokens, r.RunStart.CachedTokens, r.RunStart.ImportedTokens)
	}
}

// outcomeOf returns the outcome label of a failed request. A caller that disconnected is not counted as an error of the
// instance.
func outcomeOf(r *request.Request, e *request.Error) string {
	if r.HTTP.Context().Err() != nil {
		return exporter.CallerDisconnected
	}
	return string(e.Code)
}

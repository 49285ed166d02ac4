package server

import (
	"errors"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
)

// requestChart is the state chart of the request lifecycle.
var requestChart = charter.MustLoad("request")

// The events that end a request early.
const (
	eventRefuse charter.Event = "refuse"
	eventFail   charter.Event = "fail"
)

// stepEvents maps the name of a step to the lifecycle event that its success fires. Other steps do not change the state.
var stepEvents = map[string]charter.Event{
	"identify": "identified", "admit": "admitted", "route": "routed", "dispatch": "dispatched", "deliver": "delivered",
}

// eventOf returns the lifecycle event for the result of a step, or "" if the request stays in its state.
func eventOf(st request.Step, err error) charter.Event {
	var re *request.Error
	switch {
	case err == nil:
		return stepEvents[st.String()]
	case errors.As(err, &re) && re.NotRun:
		return eventRefuse
	}
	return eventFail
}

// advance fires a lifecycle event and returns the chart in its next state. The chart has no transition for a refusal as
// "not run" after the dispatch, so such a refusal is reported as a violated invariant.
func (s *Server) advance(r *request.Request, m charter.Machine, e charter.Event) charter.Machine {
	if e == "" {
		return m
	}
	next, err := m.Next(e)
	s.Asserter.Check(asserter.NotRunAccurate, err == nil || e != eventRefuse, "request %s refused as not run in state %s", r.ID, m.State())
	if err != nil {
		logger.WithError(s.Log, err).WithField("request", r.ID).Error("invalid transition of the request lifecycle")
	}
	return next
}

package server

import (
	"errors"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
)

// requestChart is the lifecycle of a request.
var requestChart = charter.MustLoad("request")

// The events that end a request early.
const (
	eventRefuse charter.Event = "refuse"
	eventFail   charter.Event = "fail"
)

// stepEvents are the events of steps that move a request on.
var stepEvents = map[string]charter.Event{
	"identify": "identified", "admit": "admitted", "route": "routed", "dispatch": "dispatched", "deliver": "delivered",
}

// eventOf returns the event of a step's end; it is empty if the request stays in its state.
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

// advance moves a request on; a request that was dispatched and is refused as "not run" has no transition.
func (s *Server) advance(r *request.Request, m charter.Machine, e charter.Event) charter.Machine {
	if e == "" {
		return m
	}
	next, err := m.Next(e)
	s.Asserter.Check(asserter.NotRunAccurate, err == nil || e != eventRefuse, "request %s is refused as not run in state %s", r.ID, m.State())
	if err != nil {
		logger.WithError(s.Log, err).WithField("request", r.ID).Error("request left its lifecycle")
	}
	return next
}

// Package gatekeeper is the step that admits a request or refuses it at once.
//
// A refusal here is always "not run": nothing was sent anywhere.
//
// # Usage
//
//	s := &gatekeeper.Step{}
package gatekeeper

import (
	"context"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// drainRetryAfter is when a caller that reached a leaving instance should try another one.
const drainRetryAfter = 100 * time.Millisecond

// Step admits requests.
type Step struct{}

// String names the step.
func (s *Step) String() string { return "admit" }

// Default has nothing to take from the configuration.
func (s *Step) Default(*configurer.Config) {}

// Run admits the request.
func (s *Step) Run(_ context.Context, r *request.Request) error {
	if r.View.Draining {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeDraining, "",
			"this instance is leaving").WithRetryAfter(drainRetryAfter)
	}
	return nil
}

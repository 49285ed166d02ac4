package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/request"
)

// noTargetRetryAfter is the advised retry delay while a service has no target, such as while its targets are
// replaced or swap weights.
const noTargetRetryAfter = 400 * time.Millisecond

// admitStep chooses the service of a call and refuses the call if the service has no target.
type admitStep struct{ s *Server }

// String implements request.Stage.
func (*admitStep) String() string { return "admit" }

// Run implements request.Stage.
func (st *admitStep) Run(_ context.Context, c *Call) error {
	name := pick(c.Route.Splits, rand.IntN)
	c.Service = c.View.Catalog.Services[name]
	if c.Service == nil || len(c.View.Targets(name)) == 0 {
		return request.Refuse(http.StatusServiceUnavailable, request.CodeOverloaded, "", "service %q has no target", name).
			WithRetryAfter(noTargetRetryAfter)
	}
	return nil
}

// pick returns a random service with a probability proportional to its weight. It returns the first service if no weight is
// positive, and an empty name if there are no splits.
func pick(splits []cataloger.Split, intn func(int) int) string {
	sum := 0
	for _, x := range splits {
		sum += x.Weight
	}
	if sum <= 0 {
		if len(splits) == 0 {
			return ""
		}
		return splits[0].Service
	}
	n := intn(sum)
	for _, x := range splits {
		if n -= x.Weight; n < 0 {
			return x.Service
		}
	}
	return ""
}

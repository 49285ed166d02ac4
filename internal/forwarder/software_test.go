package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/balancer"
)

// Guards against streams that are refused when they are taken up, while new ones begin: after all instances have started again, they compete
// for the few targets that have their software version, so that these are expected to answer late.
func TestTakenUpStreamIsRefusedBesideNewOnes(t *testing.T) {
	tests := map[string]struct {
		resumes string
		// objective is that of the route as a share of the expected time to the first event.
		objective float64
		want      error
	}{
		"new, on time":        {"", 1.1, nil},
		"new, late":           {"", 0.8, balancer.ErrObjectiveMissed},
		"taken up, late":      {"s", 0.8, nil},
		"taken up, very late": {"s", 0.5, balancer.ErrObjectiveMissed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := serverWithTargets(t, 1)
			c.Route.Objective = 0
			d, err := s.balance(c, time.Now())
			require.NoError(t, err)
			c.Headers.Resumes, c.Route.Objective = tc.resumes, time.Duration(tc.objective*float64(d.Expected))
			_, err = s.balance(c, time.Now())
			require.ErrorIs(t, err, tc.want)
		})
	}
}

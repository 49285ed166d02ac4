package forwarder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a whole stream that the end of a stop cuts while it is checked whether its target runs on, and against a stop that waits
// longer than its grace period allows.
func TestStopWaitsForEnds(t *testing.T) {
	never := time.Hour
	tests := map[string]struct {
		ends []time.Duration
		want time.Duration
	}{
		"nothing":                        {nil, 0},
		"check in progress":              {[]time.Duration{crashCheckDelay}, crashCheckDelay + endSendDelay},
		"two checks":                     {[]time.Duration{crashCheckDelay, crashCheckDelay / 2}, crashCheckDelay + endSendDelay},
		"call whose caller reads slowly": {[]time.Duration{never}, endTimeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var e endingCalls
				for _, end := range tc.ends {
					c := &Call{}
					e.add(c)
					e.add(c) // as a call does that is sent again after a response
					time.AfterFunc(end, func() {
						e.remove(c)
						e.remove(c)
					})
				}
				start := time.Now()
				e.wait(t.Context())
				require.InDelta(t, tc.want, time.Since(start), float64(endCheckInterval))
			})
		})
	}
	require.LessOrEqual(t, endTimeout+flushTimeout, finishMargin)
}

package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/request"
)

// Guards against a request that a stopping instance takes late and aborts at the end of its grace period.
func TestRequestTakenLateIsAborted(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := &stopTimes{noticeEnd: start.Add(2 * time.Second), end: start.Add(7 * time.Second)}
	view := cataloger.NewView().WithCatalog(cataloger.New(1, []cataloger.Route{{Name: "note", Host: "desk", Prefix: "/note/", Timeout: 15 * time.Second}}, nil, nil, cataloger.Limits{}))
	tests := map[string]struct {
		stop       *stopTimes
		received   time.Duration
		timeout    time.Duration
		wantNotRun bool
	}{
		"not stopping":                             {nil, 3 * time.Second, 15 * time.Second, false},
		"during the drain notice":                  {stop, time.Second, 15 * time.Second, false},
		"after it, deadline before the end":        {stop, 3 * time.Second, 4 * time.Second, false},
		"after it, deadline after the end":         {stop, 3 * time.Second, 4001 * time.Millisecond, true},
		"after it, only the route limits the time": {stop, 3 * time.Second, 0, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{Settings: &Settings{}}
			s.stop.Store(tc.stop)
			hr := httptest.NewRequest(http.MethodPost, "/note/1", nil)
			hr.Host = "desk"
			c := &Call{HTTP: hr, ReceivedAt: start.Add(tc.received), View: view, Headers: RequestHeaders{Timeout: tc.timeout}}
			err := (&identifyStep{s}).Run(t.Context(), c)
			var re *request.Error
			if !tc.wantNotRun {
				require.NoError(t, err)
				return
			}
			require.ErrorAs(t, err, &re)
			require.True(t, re.NotRun)
			require.Equal(t, http.StatusServiceUnavailable, re.Status)
			require.Positive(t, re.RetryAfter)
		})
	}
}

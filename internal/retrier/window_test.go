package retrier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against instances that together exceed the retry limit in some window, although each counts only its own requests
// and has only its part of the slack.
func TestRandomWindowHoldsForAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		const slack = 16
		w := WindowLimits{Share: 0.2, Slack: slack / float64(n), Length: 10 * time.Second}
		counters := make([]WindowCounter, n)
		now := epoch
		var requests, retries []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			c := &counters[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "retry") {
				if c.TryRetry(w, now) {
					retries = append(retries, now)
				}
			} else {
				c.RecordRequest(w, now)
				requests = append(requests, now)
			}
			r, q := len(dropExpired(retries, w, now)), len(dropExpired(requests, w, now))
			// An allowed retry counts for one window; the requests that allowed it may be one window older.
			before := len(dropExpired(requests, WindowLimits{Length: 2 * w.Length}, now))
			if bound := w.Share*float64(max(q, before)) + slack; float64(r) > bound {
				t.Fatalf("%d retries, %d requests in the window and %d in two", r, q, before)
			}
		}
	})
}

// Guards against the slack of many instances being rounded away: one instance's part of it may be less than one retry.
func TestFractionOfSlackIsKept(t *testing.T) {
	w := WindowLimits{Share: 0.16, Slack: 0.8, Length: 10 * time.Second}
	var c WindowCounter
	for range 3 {
		c.RecordRequest(w, epoch)
	}
	if !c.TryRetry(w, epoch) {
		t.Fatal("three requests and a slack of 0.8 allow one retry")
	}
	if c.TryRetry(w, epoch) {
		t.Fatal("they do not allow a second one")
	}
}

package retrier

import "time"

// WindowLimits bounds what is sent again to a share of the requests of the same span of time and a few more. The bound holds
// for the sum over all instances without a word between them, as long as the slack of each is its part of the whole.
type WindowLimits struct {
	// Share is the share of calls that may be sent again.
	Share float64
	// Slack is how many more may be sent again in a window.
	Slack int
	// Length is the span of the window.
	Length time.Duration
}

// WindowCounter is what was sent in a window; it belongs to one goroutine or lock.
type WindowCounter struct {
	requests, retries []time.Time
}

// RecordRequest counts a first attempt.
func (s *WindowCounter) RecordRequest(w WindowLimits, now time.Time) {
	s.requests = append(drop(s.requests, w, now), now)
}

// TryRetry counts a retry and returns true if it is within the bound.
func (s *WindowCounter) TryRetry(w WindowLimits, now time.Time) bool {
	s.requests, s.retries = drop(s.requests, w, now), drop(s.retries, w, now)
	if float64(len(s.retries)+1) > w.Share*float64(len(s.requests))+float64(w.Slack) {
		return false
	}
	s.retries = append(s.retries, now)
	return true
}

// drop removes the times that are older than the window.
func drop(ts []time.Time, w WindowLimits, now time.Time) []time.Time {
	i := 0
	for i < len(ts) && now.Sub(ts[i]) > w.Length {
		i++
	}
	return ts[i:]
}

package retrier

import "time"

// WindowLimits limits retries to a share of the requests in the same sliding window plus a constant. The limit holds for the
// sum over all instances without coordination, provided that the slack of each instance is its part of the total slack.
type WindowLimits struct {
	// Share is the number of retries per request.
	Share float64
	// Slack is the number of additional retries in a window. Its fraction adds to that of the share.
	Slack float64
	// Length is the length of the window.
	Length time.Duration
}

// Scaled returns limits that allow the fraction f of the retries.
func (w WindowLimits) Scaled(f float64) WindowLimits {
	w.Share, w.Slack = f*w.Share, f*w.Slack
	return w
}

// WindowCounter counts requests and retries in a sliding window. It is not safe for concurrent use.
type WindowCounter struct {
	requests, retries []time.Time
}

// RecordRequest counts the first attempt of a request.
func (c *WindowCounter) RecordRequest(w WindowLimits, now time.Time) {
	c.requests = append(dropExpired(c.requests, w, now), now)
}

// TryRetry reports whether a retry is within the limits, and counts it if so.
func (c *WindowCounter) TryRetry(w WindowLimits, now time.Time) bool {
	c.requests, c.retries = dropExpired(c.requests, w, now), dropExpired(c.retries, w, now)
	if float64(len(c.retries)+1) > w.Share*float64(len(c.requests))+w.Slack {
		return false
	}
	c.retries = append(c.retries, now)
	return true
}

// dropExpired returns ts without the leading times that are older than the window.
func dropExpired(ts []time.Time, w WindowLimits, now time.Time) []time.Time {
	i := 0
	for i < len(ts) && now.Sub(ts[i]) > w.Length {
		i++
	}
	return ts[i:]
}

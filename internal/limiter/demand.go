package limiter

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of measured rates.
	demandTime = 10 * time.Second
	// lowSpans spans of Settle/lowSpans, and the present one, hold the smallest values of the last Settle.
	lowSpans = 4
)

// demand measures what an account asks of this instance, admitted or not; it is an immutable value.
type demand struct {
	requests, tokens float64
	at               time.Time
}

func (d demand) decayed(now time.Time) demand {
	if !d.at.IsZero() && now.After(d.at) {
		f := math.Exp(-float64(now.Sub(d.at)) / float64(demandTime))
		d.requests, d.tokens = d.requests*f, d.tokens*f
	}
	if now.After(d.at) {
		d.at = now
	}
	return d
}

// with adds a request.
func (d demand) with(tokens int, now time.Time) demand {
	d = d.decayed(now)
	d.requests++
	d.tokens += float64(tokens)
	return d
}

// after adds tokens that became known at the end of a request.
func (d demand) after(tokens int, now time.Time) demand {
	d = d.decayed(now)
	d.tokens = max(0, d.tokens+float64(tokens))
	return d
}

// vector returns the rates and the concurrent streams.
func (d demand) vector(streams int, now time.Time) LimitValues {
	d = d.decayed(now)
	return LimitValues{d.requests / demandTime.Seconds(), d.tokens / demandTime.Seconds(), float64(streams)}
}

// track keeps the last advertised value and the smallest of the last Settle.
type track struct {
	last  LimitValues
	lows  [lowSpans + 1]LimitValues
	span  int64
	known bool
}

func spanOf(now time.Time) int64 { return now.UnixNano() / int64(SettleTime/lowSpans) }

// roll moves the spans up to now; in each new span the value so far was in force.
func (t *track) roll(now time.Time) {
	s := spanOf(now)
	if !t.known {
		// Before the first value nothing was advertised.
		t.known, t.span = true, s
		return
	}
	for n := min(s-t.span, lowSpans+1); n > 0; n-- {
		copy(t.lows[1:], t.lows[:])
		t.lows[0] = t.last
	}
	t.span = max(t.span, s)
}

// set records an advertised value.
func (t *track) set(v LimitValues, now time.Time) {
	t.roll(now)
	t.last = v
	t.lows[0] = t.lows[0].min(v)
}

// low returns the smallest value of the last Settle.
func (t *track) low(now time.Time) LimitValues {
	t.roll(now)
	v := t.last
	for _, x := range t.lows {
		v = v.min(x)
	}
	return v
}

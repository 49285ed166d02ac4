package limiter

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the exponential decay of measured rates.
	rateTimeConstant = 10 * time.Second
	// historySpans is the number of spans into which SettleTime is divided. A history holds the minimum of each, and of
	// the current span.
	historySpans = 4
)

// demand measures the requests of an account at this instance, admitted or not. It is an immutable value.
type demand struct {
	requests, tokens float64
	at               time.Time
}

func (d demand) decayed(now time.Time) demand {
	if !d.at.IsZero() && now.After(d.at) {
		f := math.Exp(-float64(now.Sub(d.at)) / float64(rateTimeConstant))
		d.requests, d.tokens = d.requests*f, d.tokens*f
	}
	if now.After(d.at) {
		d.at = now
	}
	return d
}

// withRequest returns the demand with a request added.
func (d demand) withRequest(tokens int, now time.Time) demand {
	d = d.decayed(now)
	d.requests++
	d.tokens += float64(tokens)
	return d
}

// withTokens returns the demand with tokens added that became known at the end of a request; they may be negative.
func (d demand) withTokens(tokens int, now time.Time) demand {
	d = d.decayed(now)
	d.tokens = max(0, d.tokens+float64(tokens))
	return d
}

// values returns the measured rates together with the number of concurrent streams.
func (d demand) values(streams int, now time.Time) LimitValues {
	d = d.decayed(now)
	return LimitValues{d.requests / rateTimeConstant.Seconds(), d.tokens / rateTimeConstant.Seconds(), float64(streams)}
}

// demandHistory holds the last advertised value and the minima of the last SettleTime.
type demandHistory struct {
	last    LimitValues
	minima  [historySpans + 1]LimitValues
	span    int64
	started bool
}

func spanOf(now time.Time) int64 { return now.UnixNano() / int64(SettleTime/historySpans) }

// advance moves the spans forward to now. The minimum of each new span starts with the last advertised value.
func (h *demandHistory) advance(now time.Time) {
	s := spanOf(now)
	if !h.started {
		// The minima before the first value stay 0, since nothing was advertised.
		h.started, h.span = true, s
		return
	}
	for n := min(s-h.span, historySpans+1); n > 0; n-- {
		copy(h.minima[1:], h.minima[:])
		h.minima[0] = h.last
	}
	h.span = max(h.span, s)
}

// record adds an advertised value.
func (h *demandHistory) record(v LimitValues, now time.Time) {
	h.advance(now)
	h.last = v
	h.minima[0] = h.minima[0].min(v)
}

// inForce returns the smallest value advertised during the last SettleTime.
func (h *demandHistory) inForce(now time.Time) LimitValues {
	h.advance(now)
	v := h.last
	for _, x := range h.minima {
		v = v.min(x)
	}
	return v
}

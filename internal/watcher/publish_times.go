package watcher

import "time"

const (
	// maxReadPause is the longest time between two reads in which a change is regarded as read when it was published.
	maxReadPause = 200 * time.Millisecond
	// rewriteTime is how long after a restoration changes may be those that were published before it and are written again.
	rewriteTime = 3 * time.Second
)

// publishTimes derives from the reads of a source when its changes were published.
type publishTimes struct {
	// complete is the time up to which all changes are known, or [cataloger.UnknownTime].
	complete time.Duration
	// rewrittenUntil is when the changes that a restored store has lost are written again.
	rewrittenUntil time.Duration
}

// finishedRead is a successful read from an offset on, which waited up to timeout for changes.
type finishedRead struct {
	start, end, timeout time.Duration
	from                int64
	// mayHaveMissed reports whether the store was restored since the read before and may have lost changes that this instance has not
	// read.
	mayHaveMissed bool
}

// add returns when the changes of a read were published, and whether that was observed. Otherwise it is the earliest possible time.
func (p *publishTimes) add(r finishedRead, b Batch) (publishedAt time.Duration, observed bool) {
	if r.mayHaveMissed {
		p.rewrittenUntil = r.end + rewriteTime
	}
	previous := p.complete
	if r.end < p.rewrittenUntil {
		// The changes may have been published at any time since the last read before the restoration.
		return previous, false
	}
	empty, duringWait := b.NextOffset == r.from, r.end-r.start < r.timeout && !b.IsSnapshot
	p.complete = completeUntil(r, empty, duringWait)
	// The change ended the wait when it was published. Of several changes, the store may have missed the wake-up for all
	// but the last one.
	if duringWait && r.start-previous < maxReadPause && b.NextOffset == r.from+1 {
		return r.end, true
	}
	return previous, false
}

// completeUntil returns the time up to which all changes are known after a read. The store sends an empty response at the end
// of the wait, but it may arrive later. A response with changes was sent as soon as there were any if it arrived during the
// wait, and at an unknown time after the request otherwise.
func completeUntil(r finishedRead, empty, duringWait bool) time.Duration {
	switch {
	case empty:
		return min(r.end, r.start+r.timeout)
	case duringWait:
		return r.end
	}
	return r.start
}

package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

const (
	// peerLeadTime is how long another instance may have read further before this one gives up its long poll. The store answers
	// the long polls of all instances at the same time, but answers take longer on slow links.
	peerLeadTime = 250 * time.Millisecond
	// peerVersionTTL is how long the version that another instance has in force is regarded as known. It covers several lost
	// announcements in large deployments.
	peerVersionTTL = 2 * time.Second
	// maxConfirmedAgeMs bounds the age of a read that another instance states.
	maxConfirmedAgeMs = 3_600_000
	// maxEras is how many eras of the metadata store are remembered. All instances read a new one within seconds.
	maxEras = 4
)

// Progress is how far an instance has read the operator's source. It is encoded as an array, so the order of the fields is part of
// the format.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Offset is the one after the last record that was read, in the history of Era.
	Era, Offset int64
	// Version is that of the configuration in force; 0 if there is none.
	Version int64
	// ConfirmedAgeMs is how long ago the read was sent that last confirmed the configuration; 0 if it is not stated. It is not part of
	// the array, which programs before it could not decode then.
	ConfirmedAgeMs int64 `msgpack:"-"`
}

// isAfter reports whether p is a later position than that of c. Offsets of different eras cannot be compared.
func (p Progress) isAfter(c cursor) bool {
	return p.Era > c.era || p.Era == c.era && p.Offset > c.offset
}

// peerProgress is the latest progress of the other instances. It is safe for concurrent use.
type peerProgress struct {
	mu     sync.Mutex
	latest Progress
	// version is the highest version in force elsewhere, last announced at versionAt.
	version   int64
	versionAt time.Time
	// confirmedAt is when another instance last read the operator's source.
	confirmedAt time.Time
	// advanced is closed and replaced when latest advances.
	advanced chan struct{}
	// eras holds the highest offset announced in each of the last eras.
	eras map[int64]eraProgress
	// attempted is the position that this instance has tried to reach last.
	attempted Progress
}

// eraProgress is the highest offset that was announced in an era, and when an offset in that era was last announced.
type eraProgress struct {
	offset  int64
	heardAt time.Time
}

func newPeerProgress() *peerProgress {
	return &peerProgress{advanced: make(chan struct{}), eras: map[int64]eraProgress{}}
}

// merge applies the announced progress of another instance.
func (p *peerProgress) merge(in Progress, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.Version >= p.version || now.Sub(p.versionAt) > peerVersionTTL {
		p.version, p.versionAt = in.Version, now
	}
	if in.ConfirmedAgeMs > 0 {
		if at := now.Add(-time.Duration(min(in.ConfirmedAgeMs, maxConfirmedAgeMs)) * time.Millisecond); at.After(p.confirmedAt) {
			p.confirmedAt = at
		}
	}
	e := p.eras[in.Era]
	p.eras[in.Era] = eraProgress{offset: max(e.offset, in.Offset), heardAt: now}
	delete(p.eras, in.Era-maxEras)
	if in.isAfter(cursor{era: p.latest.Era, offset: p.latest.Offset}) {
		p.latest = in
		close(p.advanced)
		p.advanced = make(chan struct{})
	}
}

// confirms reports whether c was the end of its era as far as the other instances know: one has announced a position in that era since
// a time, and none has read further.
func (p *peerProgress) confirms(c cursor, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.eras[c.era]
	return ok && e.heardAt.After(since) && e.offset <= c.offset
}

// leads reports whether another instance has read further than c, and this one has not tried to reach that position. The channel is
// closed when an instance reads further still.
func (p *peerProgress) leads(c cursor) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest.isAfter(c) && p.latest != p.attempted, p.advanced
}

// startCatchUp reports what leads does, and records the attempt. One is enough, even if its response does not reach that position.
func (p *peerProgress) startCatchUp(c cursor) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.latest.isAfter(c) || p.latest == p.attempted {
		return false
	}
	p.attempted = p.latest
	return true
}

// versionInForce returns the highest version that another instance has recently announced.
func (p *peerProgress) versionInForce(now time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.versionAt) > peerVersionTTL {
		return 0
	}
	return p.version
}

// awaitLead waits until another instance has read further than c for peerLeadTime. It returns false if ctx is done first.
func (p *peerProgress) awaitLead(ctx context.Context, c cursor) bool {
	for {
		leads, advanced := p.leads(c)
		if leads {
			return sleeper.Sleep(ctx, peerLeadTime)
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return false
		}
	}
}

// Progress returns how far this instance has read the operator's source, for the other instances.
func (w *Watcher) Progress() Progress {
	p := Progress{}
	if own := w.progress.Load(); own != nil {
		p = *own
	}
	if c := w.View().Catalog; c != nil {
		p.Version = c.Version
		p.ConfirmedAgeMs = max(1, w.ConfigAge().Milliseconds())
	}
	return p
}

// MergeProgress applies the progress of another instance. If this instance is behind, it gives up its long poll, whose connection may
// be dead, and reads again at once.
func (w *Watcher) MergeProgress(p Progress) { w.peers.merge(p, time.Now()) }

// IsReadElsewhere reports whether the operator's source cannot be read here, while another instance has read it within maxAge and since
// this one has failed to. The callers of this instance are then better served by the others.
func (w *Watcher) IsReadElsewhere(maxAge time.Duration) bool {
	if !w.operatorUnreachable.Load() {
		return false
	}
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	return time.Since(w.peers.confirmedAt) < maxAge && w.peers.confirmedAt.UnixNano() > w.unreachableSince.Load()
}

// IsOutdated reports whether another instance has a newer configuration in force than c.
func (w *Watcher) IsOutdated(c *cataloger.Catalog) bool {
	return w.peers.versionInForce(time.Now()) > c.Version
}

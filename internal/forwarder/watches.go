package forwarder

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/pooler"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// closeWindow is how long before the end of a response a watch may have lost its connection for the response to count as interrupted. All
// connections of a process that ends are closed within it; a target also closes idle connections, at any time.
const closeWindow = 500 * time.Millisecond

// processState is what is known of the process of a target, as it is logged.
type processState string

const (
	processConnected    processState = "connected"
	processOtherOpen    processState = "otherOpen"
	processLost         processState = "lost"
	processRefused      processState = "refused"
	processNotConnected processState = "notConnected"
)

// processWatch keeps a connection to the process of a target while responses without framing are read from it. The operating system closes all
// connections of a process that ends, also if the target is started again at once.
type processWatch struct {
	d      *crashDetector
	target *cataloger.Target
	cancel context.CancelFunc
	// users is the number of responses; the detector's mutex guards it.
	users int
	// tried is closed after the first attempt to connect.
	tried chan struct{}

	mu sync.Mutex
	// isRefused reports whether the last attempt to connect was refused.
	isRefused bool
	// conn is the connection; nil if there is none.
	conn net.Conn
	// knownAt is when the process was last known to be that of conn, or of the one before if that was closed: before it was dialled, or at the start
	// of a response.
	knownAt time.Time
	// lostAt is when the connection was last closed, or refused; zero if it never was, or if the process is known to have lived on then.
	lostAt time.Time
	// unexplainedAt is the last lostAt after which the process was not known to have lived on.
	unexplainedAt time.Time
}

// watch returns the watch of a target's process, which it starts if necessary. The caller ends it.
func (d *crashDetector) watch(t *cataloger.Target) *processWatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := processOf(t)
	w := d.watches[p]
	if w == nil {
		ctx, cancel := context.WithCancel(context.Background())
		w = &processWatch{d: d, target: t, cancel: cancel, tried: make(chan struct{}), knownAt: time.Now()}
		if d.watches == nil {
			d.watches = map[quarantiner.Process]*processWatch{}
		}
		d.watches[p] = w
		go w.run(ctx)
	}
	w.users++
	w.confirm()
	return w
}

// end releases the watch; w may be nil.
func (w *processWatch) end() {
	if w == nil {
		return
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if w.users--; w.users == 0 {
		delete(w.d.watches, processOf(w.target))
		w.cancel()
	}
}

// run keeps a connection to the target until ctx is done.
func (w *processWatch) run(ctx context.Context) {
	d := net.Dialer{Timeout: crashCheckTimeout}
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		dialledAt := time.Now()
		conn, err := d.DialContext(ctx, "tcp", w.target.Address)
		w.set(conn, errors.Is(err, syscall.ECONNREFUSED), dialledAt)
		if isFirst {
			close(w.tried)
		}
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 1)) // until the connection is closed, or the target says that it is about to do so
			stop()
			_ = conn.Close()
			w.set(nil, false, dialledAt)
		}
		sleeper.Sleep(ctx, crashCheckDelay)
	}
}

// confirm records that a response has started while the connection was open, so that both belong to the same process.
func (w *processWatch) confirm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now() // before the check, after which the process may end and another one get its address
	if w.conn != nil && pooler.IsOpen(w.conn) {
		w.knownAt = now
	}
}

// set records that the connection that was dialled at the given time was opened, or, if conn is nil, that it was lost or refused.
func (w *processWatch) set(conn net.Conn, isRefused bool, dialledAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.isRefused = conn, isRefused
	if conn == nil {
		w.lostAt = time.Now()
		return
	}
	// A connection from when the process was known that is still open, such as that of a response, shows that the process is the same.
	if w.d.s.pool.HasOpen(peerOf(w.target), w.knownAt) {
		w.lostAt = w.unexplainedAt
	}
	w.unexplainedAt, w.knownAt = w.lostAt, dialledAt
}

// state returns what the watch knows of the process, and how long ago its connection was lost or refused last; 0 if it never was.
func (w *processWatch) state(now time.Time) (processState, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.lostAt.IsZero() && w.conn == nil:
		return processNotConnected, 0
	case w.lostAt.IsZero():
		return processConnected, 0
	case w.isRefused:
		return processRefused, now.Sub(w.lostAt)
	case w.conn != nil && now.Sub(w.lostAt) > closeWindow:
		return processConnected, now.Sub(w.lostAt)
	}
	return processLost, now.Sub(w.lostAt)
}

// isAlive reports whether the process that has just closed the connection of a response still runs. It is false if that is not known before
// ctx is done.
func (w *processWatch) isAlive(ctx context.Context) bool {
	if !sleeper.Sleep(ctx, crashCheckDelay) {
		return false
	}
	select {
	case <-w.tried:
	case <-ctx.Done():
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil && time.Since(w.lostAt) > closeWindow
}

// runsOn reports whether the process runs that has just ended a response to a request of the given time by closing its connection. The
// connection of the watch or any other one that is older than the request shows it: a target may refuse or close single ones, for instance
// because it stops or has too many. It is false if ctx is done before it is known.
func (s *Server) runsOn(ctx context.Context, w *processWatch, sentAt time.Time) bool {
	if w.isAlive(ctx) {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if s.pool.HasOpen(peerOf(w.target), sentAt) {
		return true
	}
	w.d.check(w.target)
	return false
}

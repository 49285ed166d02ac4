package gossiper

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/papayaworks/papayaworks/internal/failer"
	"github.com/papayaworks/papayaworks/internal/logger"
)

const (
	// maxPulls is the maximum number of concurrent pulls. It is above 1 so that an unresponsive peer does not block the
	// others.
	maxPulls = 2
	// maxRecordBytes is the maximum size of a decompressed configuration record.
	maxRecordBytes = 1 << 20
	// pullTimeout is the time-out of one pull.
	pullTimeout = 2 * time.Second
	// configRequest is the request that a peer answers with its configuration record.
	configRequest = "config\n"
)

// pullSet holds the addresses of the peers from which a pull is in progress.
type pullSet struct {
	mu         sync.Mutex
	inProgress map[string]bool
}

func (p *pullSet) tryStart(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress == nil {
		p.inProgress = map[string]bool{}
	}
	if p.inProgress[addr] || len(p.inProgress) >= maxPulls {
		return false
	}
	p.inProgress[addr] = true
	return true
}

func (p *pullSet) finish(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, addr)
}

// pull requests the configuration record of a peer with a newer version and passes it to [ConfigSource.Adopt]. It does not
// block.
func (g *Gossiper) pull(ctx context.Context, p Peer) {
	if g.Config == nil || !g.pulls.tryStart(p.Address) {
		return
	}
	l := g.links.link(ctx, p.Address, time.Now())
	if l == nil {
		g.pulls.finish(p.Address)
		return
	}
	go func() {
		defer g.pulls.finish(p.Address)
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		record, err := g.links.request(ctx, l, configRequest)
		if err == nil && len(record) > 0 {
			err = g.Config.Adopt(record)
		}
		if err != nil && ctx.Err() == nil {
			logger.WithError(g.Log, failer.Wrap(err, "pull the configuration from instance", p.ID, "pull")).Warn("configuration not pulled from peer")
		}
	}()
}

// request sends a request over a stream of the link and returns the decompressed response.
func (ls *links) request(ctx context.Context, l *link, query string) ([]byte, error) {
	select {
	case <-l.dialed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer s.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	if _, err := io.WriteString(s, query); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(flate.NewReader(s), maxRecordBytes+1))
	if err == nil && len(record) > maxRecordBytes {
		err = failer.New("configuration record is longer than %d bytes", maxRecordBytes)
	}
	return record, err
}

// serve responds to one configuration request with the compressed record.
func (g *Gossiper) serve(s *quic.Stream) {
	defer func() { _ = s.Close() }()
	query, err := io.ReadAll(io.LimitReader(s, int64(len(configRequest))+1))
	if err != nil || string(query) != configRequest || g.Config == nil {
		s.CancelWrite(0)
		return
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic(err) // the compression level is valid
	}
	_, _ = w.Write(g.Config.Current())
	_ = w.Close()
	if _, err := s.Write(b.Bytes()); err != nil {
		logger.WithError(g.Log, err).Info("configuration not sent to peer")
	}
}

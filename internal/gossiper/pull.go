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
	// maxPulls bounds the pulls in progress; a peer that does not answer must not keep the others waiting.
	maxPulls = 2
	// maxRecordBytes bounds a configuration record.
	maxRecordBytes = 1 << 20
	// pullTimeout bounds one pull.
	pullTimeout = 2 * time.Second
	// requestConfig is the request for the configuration record.
	requestConfig = "config\n"
)

// puller keeps which peers are being asked for their configuration.
type puller struct {
	mu   sync.Mutex
	busy map[string]bool
}

func (p *puller) begin(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy == nil {
		p.busy = map[string]bool{}
	}
	if p.busy[addr] || len(p.busy) >= maxPulls {
		return false
	}
	p.busy[addr] = true
	return true
}

func (p *puller) end(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, addr)
}

// pull gets the configuration record of a peer that has a newer one and has the source adopt it.
func (g *Gossiper) pull(ctx context.Context, p Peer) {
	if g.Config == nil || !g.pulls.begin(p.Address) {
		return
	}
	l := g.links.link(ctx, p.Address, time.Now())
	if l == nil {
		g.pulls.end(p.Address)
		return
	}
	go func() {
		defer g.pulls.end(p.Address)
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		record, err := g.links.request(ctx, l, requestConfig)
		if err == nil && len(record) > 0 {
			err = g.Config.Adopt(record)
		}
		if err != nil && ctx.Err() == nil {
			logger.WithError(g.Log, failer.Wrap(err, "take the configuration from instance", p.ID, "pull")).Warn("configuration not taken")
		}
	}()
}

// request sends a request over a stream of the link and returns the decompressed answer.
func (ls *links) request(ctx context.Context, l *link, what string) ([]byte, error) {
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
	if _, err := io.WriteString(s, what); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(flate.NewReader(s), maxRecordBytes+1))
	if err == nil && len(record) > maxRecordBytes {
		err = failer.New("record is longer than %d bytes", maxRecordBytes)
	}
	return record, err
}

// serve answers one request stream.
func (g *Gossiper) serve(s *quic.Stream) {
	defer func() { _ = s.Close() }()
	what, err := io.ReadAll(io.LimitReader(s, int64(len(requestConfig))+1))
	if err != nil || string(what) != requestConfig || g.Config == nil {
		s.CancelWrite(0)
		return
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(g.Config.Current())
	_ = w.Close()
	if _, err := s.Write(b.Bytes()); err != nil {
		logger.WithError(g.Log, err).Info("configuration not sent to an instance")
	}
}

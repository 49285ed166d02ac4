package swapper

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// countedConn counts the bytes sent and received.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkReconcile measures a round of the lease holder in an idle fleet, with load reports from the targets of its own
// data centre, a twelfth of all. It reports the bytes of state reads per round and the share of rounds that find an engine
// not in the desired state.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range []int{15, 150, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := &emulator.Engine{Models: map[string]int64{"m": 1}, Slots: 8}
			_, err := e.Start()
			require.NoError(b, err)
			defer e.Kill()
			cfg := &configurer.Config{Models: []configurer.Model{{Name: "m", Version: 1}}}
			statuses := map[string]view.Status{}
			for i := range n {
				id := fmt.Sprintf("letters-%04d", i)
				cfg.Targets = append(cfg.Targets, configurer.Target{
					ID: id, Address: e.Addr, DataCentre: fmt.Sprintf("dc-%02d", i%12), Kind: configurer.KindEngine, Models: []string{"m"},
				})
				if i%12 == 0 {
					statuses[id] = view.Status{Versions: map[string]int64{"m": 1}, LoadAt: time.Now()}
				}
			}
			v := view.New(cfg, 1, "dc-00").WithTargets(statuses)
			var bytes atomic.Int64
			s := &Swapper{
				Client: dialer.NewWithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
					return countedConn{c, &bytes}, err
				}),
				View: func() *view.View { return v }, Logger: logger.Discard(), Interval: time.Second,
			}
			busy, rounds := 0, 0
			for b.Loop() {
				if s.Reconcile(b.Context()) {
					busy++
				}
				rounds++
			}
			b.ReportMetric(float64(bytes.Load())/float64(rounds), "B/round")
			b.ReportMetric(float64(busy)/float64(rounds), "busy")
		})
	}
}

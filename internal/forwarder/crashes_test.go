package forwarder

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/pooler"
)

// Guards against a response without framing that counts as complete although it was not found out whether its target is alive.
func TestUnknownTargetCountsAsAlive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		address string
		want    bool
	}{
		"accepts connections":        {t.Context(), ln.Addr().String(), true},
		"refuses connections":        {t.Context(), "127.0.0.1:1", false},
		"no usable address":          {t.Context(), "127.0.0.1", false},
		"not checked before the end": {cancelled, ln.Addr().String(), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &crashDetector{s: &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}}
			w := d.watch(&cataloger.Target{ID: "w-1", Address: tc.address})
			defer w.end()
			require.Equal(t, tc.want, w.isAlive(tc.ctx))
		})
	}
}

// Guards against a response without framing that counts as complete although the process that sent it has ended, as another one has its address.
func TestWatchOfProcess(t *testing.T) {
	tests := map[string]struct {
		// closedBefore is how long before the end of the response the target closes its other connections; 0 if it does not.
		closedBefore time.Duration
		want         bool
	}{
		"runs on":                  {0, true},
		"ended and started again":  {time.Millisecond, false},
		"closed idle ones earlier": {2 * closeWindow, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			d := &crashDetector{s: &Server{loads: balancer.NewLoadTable(), pool: pooler.New(), Log: logger.Discard()}}
			first, second := d.watch(&cataloger.Target{ID: "w-1", Address: ln.Addr().String()}), d.watch(&cataloger.Target{ID: "w-1", Address: ln.Addr().String()})
			first.end()
			defer second.end()
			conn, err := ln.Accept()
			require.NoError(t, err)
			if tc.closedBefore > 0 {
				_ = conn.Close()
			}
			time.Sleep(tc.closedBefore)
			require.Equal(t, tc.want, second.isAlive(t.Context()))
		})
	}
}

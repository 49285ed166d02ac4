package forwarder

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/balancer"
	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/logger"
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
			d := &crashDetector{s: &Server{loads: balancer.NewLoadTable(), Log: logger.Discard()}}
			require.Equal(t, tc.want, d.isAlive(tc.ctx, &cataloger.Target{ID: "w-1", Address: tc.address}))
		})
	}
}

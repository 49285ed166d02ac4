package forwarder

import (
	"sync"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
)

// framingHistory remembers which targets frame their streams, with a length or chunks. It is safe for concurrent use.
type framingHistory struct {
	mu      sync.Mutex
	framing map[quarantiner.Process]bool
}

// record records a complete stream with framing.
func (h *framingHistory) record(t *cataloger.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.framing == nil {
		h.framing = map[quarantiner.Process]bool{}
	}
	h.framing[processOf(t)] = true
}

// framesStreams reports whether a stream of the target's process had framing.
func (h *framingHistory) framesStreams(t *cataloger.Target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.framing[processOf(t)]
}

// retain forgets the processes that are not in the view.
func (h *framingHistory) retain(v *cataloger.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.framing {
		if t, ok := v.Target(p.Target); !ok || processOf(t) != p {
			delete(h.framing, p)
		}
	}
}

func processOf(t *cataloger.Target) quarantiner.Process {
	return quarantiner.Process{Target: t.ID, StartedUnixMs: t.StartedUnixMs}
}

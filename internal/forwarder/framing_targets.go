package forwarder

import (
	"sync"

	"github.com/papayaworks/papayaworks/internal/cataloger"
	"github.com/papayaworks/papayaworks/internal/quarantiner"
)

// framingTargets remembers which targets have framed a stream, with a length or chunks. That says nothing about their other streams, but one of
// theirs without framing is more likely to have been cut between two events. It is safe for concurrent use.
type framingTargets struct {
	mu        sync.Mutex
	processes map[quarantiner.Process]bool
}

// record records a complete stream with framing.
func (f *framingTargets) record(t *cataloger.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.processes == nil {
		f.processes = map[quarantiner.Process]bool{}
	}
	f.processes[processOf(t)] = true
}

// contains reports whether a stream of the target's process had framing.
func (f *framingTargets) contains(t *cataloger.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[processOf(t)]
}

// retain forgets the processes that are not in the view.
func (f *framingTargets) retain(v *cataloger.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.processes {
		if t, ok := v.Target(p.Target); !ok || processOf(t) != p {
			delete(f.processes, p)
		}
	}
}

func processOf(t *cataloger.Target) quarantiner.Process {
	return quarantiner.Process{Target: t.ID, StartedUnixMs: t.StartedUnixMs}
}

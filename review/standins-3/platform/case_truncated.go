package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["truncated"] = runTruncatedCase }

const (
	// One of four workers crashes, which is less than the largest share in the site file.
	soundWorkers = 3
	orders       = 32
	orderParts   = 4
	partGap      = 400 * time.Millisecond
	// crashDelay is when the worker crashes: it has sent two of four parts then.
	crashDelay = 1000 * time.Millisecond
	// In the second round the instance stands still for freezeTime, and the worker is down for downTime meanwhile.
	freezeTime = 3 * time.Second
	downTime   = 2500 * time.Millisecond
)

// crashableWorker is a worker in a process of its own.
type crashableWorker struct {
	*process
	workerConfig
	e            *environment
	file         string
	registration *registration
}

// startCrashableWorker starts a worker in a process of its own and registers it.
func (e *environment) startCrashableWorker(c workerConfig) (*crashableWorker, error) {
	port, err := freePort(loopback(2))
	if err != nil {
		return nil, err
	}
	c.Address = fmt.Sprintf("%s:%d", loopback(2), port)
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	w := &crashableWorker{workerConfig: c, e: e, file: filepath.Join(e.dir, c.ID+".json")}
	if err := os.WriteFile(w.file, data, 0o600); err != nil {
		return nil, err
	}
	if err := w.restart(); err != nil {
		return nil, err
	}
	w.registration = e.register(c.ID, c.Address)
	return w, nil
}

// restart starts the process of the worker.
func (w *crashableWorker) restart() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if w.process, err = w.e.start(exec.Command(self, "worker", w.file), w.ID+".log"); err != nil {
		return err
	}
	if w.registration != nil {
		w.registration.recordStart()
	}
	return nil
}

// runTruncatedCase crashes and restarts a worker whose answers have no length: in the first round at once, in the second one while the
// instance stands still.
func runTruncatedCase(e *environment) (bool, error) {
	const timeout = 10 * time.Second
	answers := []answer{{Prefix: "/order/", Parts: orderParts, PartBytes: 1000, PartGapMs: int(partGap.Milliseconds()), Unframed: true}}
	w, err := e.startCrashableWorker(workerConfig{ID: "w-0", Answers: answers})
	if err != nil {
		return false, err
	}
	for i := range soundWorkers {
		if _, err := e.startWorker(workerConfig{ID: fmt.Sprintf("w-%d", i+1), Address: loopback(2) + ":0", Answers: answers}); err != nil {
			return false, err
		}
	}
	if err := e.publish(1, route("order", "unsafe", "/order/", timeout)); err != nil {
		return false, err
	}
	n, err := e.startNode(firstMachine, ctksMesures)
	if err != nil {
		return false, err
	}
	broken := 0
	for round, disturb := range []func(*node, *crashableWorker) error{e.crash, e.crashDuringFreeze} {
		time.Sleep(4 * time.Second) // stable_window_ms and more
		e.record("round %d", round+1)
		var wg sync.WaitGroup
		out := make([]exchange, orders)
		for i := range out {
			wg.Go(func() { out[i] = e.order(n, fmt.Sprintf("order-%d-%d", round+1, i), timeout) })
		}
		if e.trouble {
			time.Sleep(crashDelay)
			if err := disturb(n, w); err != nil {
				return false, err
			}
		}
		wg.Wait()
		broken += e.countTruncated(out, answers[0])
	}
	return broken > 0, nil
}

// crash crashes a worker, which is started again at once.
func (e *environment) crash(_ *node, w *crashableWorker) error {
	w.kill()
	err := w.restart()
	e.record("worker %s has crashed (SIGKILL) and is started again at once", w.ID)
	return err
}

// crashDuringFreeze crashes a worker, which is started again while the instance still stands still.
func (e *environment) crashDuringFreeze(n *node, w *crashableWorker) error {
	if err := n.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	e.record("%s stands still (SIGSTOP)", n.name)
	thaw := time.Now().Add(freezeTime)
	w.kill()
	e.record("worker %s has crashed (SIGKILL)", w.ID)
	time.Sleep(downTime)
	if err := w.restart(); err != nil {
		return err
	}
	e.record("worker %s is started again", w.ID)
	time.Sleep(time.Until(thaw))
	e.record("%s goes on (SIGCONT)", n.name)
	return n.signal(syscall.SIGCONT)
}

// order sends a request that must not run twice and reads the answer.
func (e *environment) order(n *node, id string, timeout time.Duration) exchange {
	x := exchange{id: id}
	c, err := dial(n.front)
	if err != nil {
		x.got.err = err
		return x
	}
	defer func() { _ = c.Close() }()
	if x.got.err = c.send(http.MethodPost, "/order/1", id, timeout, []byte("{}")); x.got.err == nil {
		x.got = c.receive(http.MethodPost, time.Now().Add(timeout))
	}
	return x
}

// countTruncated returns how many clients got a success that is complete in the protocol and has not the whole body.
func (e *environment) countTruncated(out []exchange, a answer) int {
	whole, truncated := 0, 0
	for _, x := range out {
		want := a.whole(x.id)
		e.record("%s: status %d, %s, %d of %d bytes, error %v", x.id, x.got.status, x.got.header.Get("Upstream-Signature"), len(x.got.body), len(want), x.got.err)
		switch {
		case x.got.status != http.StatusOK || x.got.err != nil:
		case string(x.got.body) == string(want):
			whole++
		default:
			truncated++
		}
	}
	e.record("of %d clients, %d got the whole body and %d a success with a part of it", len(out), whole, truncated)
	return truncated
}

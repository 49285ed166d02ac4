package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/fencer"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/pkg/caller"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"papayaworks": main})
}

// processTimeout bounds each wait of a script.
const processTimeout = 60 * time.Second

// testbed holds the emulated services, the processes and the streams of one script.
type testbed struct {
	running map[string]*exec.Cmd
	output  map[string]*bytes.Buffer
	ip      string
	log     *emulator.Log
	engines []*emulator.Engine
	mu      sync.Mutex
	streams map[string]chan error
}

// testbedKey is the key of the testbed in a script's environment values.
type testbedKey struct{}

// scriptCount is the number of scripts set up so far; it selects the loopback address of a script.
var scriptCount atomic.Int32

// Guards against faults that only real processes show: signal handling, exit statuses, settings files.
func TestProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			b := &testbed{ip: fmt.Sprintf("127.0.1.%d", scriptCount.Add(1)), streams: map[string]chan error{}, log: &emulator.Log{},
				running: map[string]*exec.Cmd{}, output: map[string]*bytes.Buffer{}}
			env.Values[testbedKey{}] = b
			return b.start(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings": onTestbed((*testbed).settings), "ready": onTestbed((*testbed).ready), "stream": onTestbed((*testbed).stream),
			"finish": onTestbed((*testbed).finish), "swapped": onTestbed((*testbed).swapped), "run": onTestbed((*testbed).run),
			"signal": onTestbed((*testbed).signal), "ended": onTestbed((*testbed).ended), "holder": onTestbed((*testbed).holder),
			"fenced": onTestbed((*testbed).fenced),
		},
	})
}

// onTestbed adapts a method to a script command. A command with a leading ! must fail.
func onTestbed(f func(*testbed, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(testbedKey{}).(*testbed), ts, args)
		if neg != (err != nil) {
			ts.Fatalf("%v: error %v, want error: %t", args, err, neg)
		}
	}
}

// start starts an emulated log and three engines and writes the configuration file.
func (b *testbed) start(env *testscript.Env) error {
	if _, err := b.log.Start(); err != nil {
		return err
	}
	env.Defer(b.log.Kill)
	env.Setenv("LOG", b.log.Addr)
	var c strings.Builder
	fmt.Fprintf(&c, "[deployment]\nname = \"test\"\n[[dataCentres]]\nname = \"a\"\nregion = \"r\"\n[[models]]\nname = \"m\"\nversion = 1\n"+
		"[timing]\nleaseMs = 1000\nloadReportMs = 200\ngossipMs = 100\n[[accounts]]\nname = \"acc\"\nkeySHA256 = %q\n", identifier.HashAPIKey("key"))
	for i := range 3 {
		e := &emulator.Engine{ID: fmt.Sprintf("e%d", i), Models: map[string]int64{"m": 1}, DecodeTokensPerSec: 100, WeightLoadMs: 50, ChecksFencing: i == 0}
		if _, err := e.Start(); err != nil {
			return err
		}
		env.Defer(e.Kill)
		b.engines = append(b.engines, e)
		fmt.Fprintf(&c, "[[targets]]\nid = %q\naddress = %q\ndataCentre = \"a\"\nkind = \"engine\"\nmodels = [\"m\"]\n", e.ID, e.Addr)
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "config.toml"), []byte(c.String()), 0o600)
}

// freeAddress returns an address that was free when it was checked. Each script has its own loopback address, so that no
// other script and no outgoing connection takes the port before the instance listens on it.
func (b *testbed) freeAddress() (string, error) {
	l, err := net.Listen("tcp", b.ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// settings NAME writes NAME.toml for an instance and sets the variable NAME to its address.
func (b *testbed) settings(ts *testscript.TestScript, args []string) error {
	addr, err := b.freeAddress()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("configuration = \"config.toml\"\n[instance]\nid = %q\ndataCentre = \"a\"\nlisten = %q\n[platform]\nlog = %q\n[keys]\ntoken = [%q]\n",
		args[0], addr, b.log.Addr, strings.Repeat("ab", 32))
	ts.Setenv(args[0], addr)
	return os.WriteFile(ts.MkAbs(args[0]+".toml"), []byte(text), 0o600)
}

// run NAME starts a process of an instance.
func (b *testbed) run(ts *testscript.TestScript, args []string) error {
	cmd := exec.Command("papayaworks", "run", "--config", args[0]+".toml")
	cmd.Dir = ts.MkAbs(".")
	b.output[args[0]] = new(bytes.Buffer)
	cmd.Stderr = b.output[args[0]]
	b.running[args[0]] = cmd
	if err := cmd.Start(); err != nil {
		return err
	}
	ts.Defer(func() { _ = cmd.Process.Kill() })
	return nil
}

// signal NAME TERM|KILL|STOP|CONT sends a signal to an instance.
func (b *testbed) signal(_ *testscript.TestScript, args []string) error {
	sig, ok := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}[args[1]]
	if !ok {
		return os.ErrInvalid
	}
	return b.running[args[0]].Process.Signal(sig)
}

// ended NAME waits until an instance exits and fails unless its status is 0 and it logged a graceful stop.
func (b *testbed) ended(_ *testscript.TestScript, args []string) error {
	err := b.running[args[0]].Wait()
	if err == nil && !strings.Contains(b.output[args[0]].String(), `"msg":"draining"`) {
		err = errors.New("the instance did not log \"draining\"")
	}
	return err
}

// holder NAME waits until an instance holds the lease for weight swaps.
func (b *testbed) holder(_ *testscript.TestScript, args []string) error {
	return poll(func() bool {
		var leases fencer.LeaseTable
		for _, rec := range b.log.Records(fencer.Stream) {
			if r, err := fencer.DecodeRecord(rec.Data); err == nil {
				leases = leases.With(rec.Offset, time.UnixMilli(rec.AtMs), r)
			}
		}
		g, ok := leases.Grant(swapper.LeaseResource)
		return ok && strings.HasPrefix(g.Holder, args[0]+"-") && time.Now().Before(g.ValidUntil)
	})
}

// fenced fails if an engine executed a command with a fencing token below one that it had received.
func (b *testbed) fenced(_ *testscript.TestScript, _ []string) error {
	for _, e := range b.engines {
		if n := e.GroundTruth().StaleCommands; n > 0 {
			return fmt.Errorf("engine %s executed %d commands with a stale fencing token", e.ID, n)
		}
	}
	return nil
}

// ready NAME waits until an instance is ready.
func (b *testbed) ready(ts *testscript.TestScript, args []string) error {
	return poll(func() bool {
		res, err := http.Get("http://" + ts.Getenv(args[0]) + "/readyz")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// poll waits until a condition holds or processTimeout has passed.
func poll(holds func() bool) error {
	deadline := time.After(processTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-deadline:
			return context.DeadlineExceeded
		case <-tick.C:
		}
	}
	return nil
}

// stream NAME TOKENS INSTANCE... starts a stream at the instances, round robin, and returns at its first chunk.
func (b *testbed) stream(ts *testscript.TestScript, args []string) error {
	tokens, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var addrs []string
	for _, name := range args[2:] {
		addrs = append(addrs, ts.Getenv(name))
	}
	first, done := make(chan struct{}), make(chan error, 1)
	var once sync.Once
	c := &caller.Client{Addresses: addrs, Key: "key", MaxAttempts: 20, OnChunk: func(int) { once.Do(func() { close(first) }) }}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
		defer cancel()
		res, err := c.Chat(ctx, caller.ChatRequest{
			Model: "m", Stream: true, MaxTokens: tokens, Seed: 1, Messages: []caller.Message{{Role: "user", Content: args[0]}},
		})
		if err == nil && res.Text != emulator.ResponseText("<|user|>\n"+args[0]+"\n", 1, tokens) {
			err = fmt.Errorf("response text of %d bytes differs from the expected text", len(res.Text))
		}
		done <- err
	}()
	b.mu.Lock()
	b.streams[args[0]] = done
	b.mu.Unlock()
	select {
	case <-first:
		return nil
	case err := <-done:
		return fmt.Errorf("stream ended before its first chunk: %w", err)
	}
}

// finish NAME waits until a stream has ended and returns its error.
func (b *testbed) finish(_ *testscript.TestScript, args []string) error {
	b.mu.Lock()
	done := b.streams[args[0]]
	b.mu.Unlock()
	return <-done
}

// swapped VERSION waits until every engine serves a weight version.
func (b *testbed) swapped(_ *testscript.TestScript, args []string) error {
	v, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return err
	}
	return poll(func() bool {
		for _, e := range b.engines {
			if !e.Converged("m", v) {
				return false
			}
		}
		return true
	})
}

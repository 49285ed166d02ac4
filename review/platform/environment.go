package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program and its argument are those of the deploy file.
	program         = "target/papayaworks"
	programArgument = "forward"
	// readyTimeout bounds the start of an instance.
	readyTimeout = 10 * time.Second
	// killTimeout is the time between SIGTERM and SIGKILL, as grace_s in the settings.
	killTimeout = 8 * time.Second
)

// environment holds the record, the temporary folder and the processes of one case.
type environment struct {
	// trouble reports whether the disruption is to be played.
	trouble bool

	dir       string
	startedAt time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	closers   []func()
}

func newEnvironment(record string, trouble bool) (*environment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &environment{trouble: trouble, dir: dir, startedAt: time.Now(), record: f}
	e.note("trouble: %v", trouble)
	return e, nil
}

// note adds a line to the record.
func (e *environment) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers a function that close calls.
func (e *environment) onClose(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closers = append(e.closers, f)
}

// close ends all processes and stand-ins and removes the temporary folder.
func (e *environment) close() {
	e.mu.Lock()
	instances, closers := e.instances, e.closers
	e.mu.Unlock()
	for _, in := range instances {
		in.kill()
	}
	for _, f := range closers {
		f()
	}
	_ = os.RemoveAll(e.dir)
	_ = e.record.Close()
}

// loopbackIP returns a random loopback address, one for each machine, so that the fixed ports of instances do not collide.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
}

// freePort returns a port that is free on a loopback address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// instance is one process of the system.
type instance struct {
	name, front, ready string

	e         *environment
	settings  string
	startedAt time.Time
	cmd       *exec.Cmd
	exited    chan struct{}
}

// closedChannel returns the exited channel of an instance that was not started yet.
func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// settingsText holds the settings of a small installation. The bounds are those of the site that the claims name.
const settingsText = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "sfax"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
medina = "sfax"
port = "sfax"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recover_s = 12
transit_ms = 120
reuse_window_s = 20
require_fencing = true
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
ingest_per_s = 20.0
egress_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// startInstance starts an instance and waits until it is ready.
func (e *environment) startInstance(name, zone, storeAddress string) (*instance, error) {
	ip := loopbackIP()
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	in := &instance{name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), e: e, exited: closedChannel()}
	settings := filepath.Join(e.dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[2], ports[2]+15, in.front, in.ready, storeAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	in.settings = settings
	e.mu.Lock()
	e.instances = append(e.instances, in)
	e.mu.Unlock()
	return in, in.start()
}

// start starts the process, again after it has ended, and waits until it is ready.
func (in *instance) start() error {
	log, err := os.OpenFile(in.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, exited := exec.Command(program, programArgument), make(chan struct{})
	cmd.Env = append(os.Environ(), "PAPAYAWORKS_NODE_FILE="+in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.e.mu.Lock()
	in.cmd, in.exited, in.startedAt = cmd, exited, time.Now()
	in.e.mu.Unlock()
	go func() {
		err := cmd.Wait()
		in.e.note("instance %s ended: %v", in.name, err)
		_ = log.Close()
		close(exited)
	}()
	for end := time.Now().Add(readyTimeout); !in.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("instance " + in.name + " is not ready:\n" + in.logText())
		}
	}
	in.e.note("instance %s is ready at %s", in.name, in.front)
	return nil
}

// logPath returns the file that the process writes its log to.
func (in *instance) logPath() string { return filepath.Join(in.e.dir, in.name+".log") }

// isReady asks the instance as the platform does.
func (in *instance) isReady() bool {
	a, err := get(in.ready, "/ready")
	return err == nil && a.status == 200
}

// logText returns what the instance has logged.
func (in *instance) logText() string {
	b, _ := os.ReadFile(in.logPath())
	return string(b)
}

// noteLog adds the lines of the instance's log that contain one of the texts to the record.
func (in *instance) noteLog(texts ...string) {
	for _, line := range strings.Split(in.logText(), "\n") {
		for _, t := range texts {
			if strings.Contains(line, t) {
				in.e.note("log of %s: %s", in.name, line)
				break
			}
		}
	}
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.e.note("%s gets %v", in.name, s)
	_ = in.cmd.Process.Signal(s)
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (in *instance) stop() {
	in.signal(syscall.SIGTERM)
	select {
	case <-in.exited:
	case <-time.After(killTimeout):
		in.kill()
	}
}

// kill ends the process at once.
func (in *instance) kill() {
	select {
	case <-in.exited:
		return
	default:
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	<-in.exited
}

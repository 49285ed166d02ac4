package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, built by the deploy file.
const program = "target/papayaworks"

// zones holds the zones; machines are spread over them.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// site holds the settings in which the installations of the cases differ, from their site files.
type site struct {
	memoryMB                                                                       int
	stableWindowMs, ackMs, catchUpSeconds, drainMs, configApplyMs, maxSkewMs       int
	budgetSlack, recoverSeconds, transitMs, versionMs, versionAllMs, machineLosses int
}

// ctksMesures and padukamPostGrown are the settings of the smallest machines of these sites.
var (
	ctksMesures = site{
		memoryMB: 134, stableWindowMs: 3000, ackMs: 4000, catchUpSeconds: 4, drainMs: 2000, configApplyMs: 2000, maxSkewMs: 5000,
		budgetSlack: 54, recoverSeconds: 12, transitMs: 120, versionMs: 8000, versionAllMs: 11000, machineLosses: 2,
	}
	padukamPostGrown = site{
		memoryMB: 184, stableWindowMs: 4000, ackMs: 6000, catchUpSeconds: 6, drainMs: 3000, configApplyMs: 3000, maxSkewMs: 6000,
		budgetSlack: 204, recoverSeconds: 15, transitMs: 200, versionMs: 8000, versionAllMs: 11000, machineLosses: 2,
	}
)

// firstMachine is the number of the first machine with an entry instance.
const firstMachine = 10

// readyTimeout bounds the time until a process is ready.
const readyTimeout = 15 * time.Second

// runID makes the loopback addresses of two runs differ.
var runID = os.Getpid()

// loopback returns the loopback address of a machine of this run.
func loopback(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+runID/200%128, 1+runID%200, machine)
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// process is a process that a case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a process that ends with the environment. Its output goes to a file.
func (e *environment) start(cmd *exec.Cmd, output string) (*process, error) {
	out, err := os.Create(filepath.Join(e.dir, output))
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	e.mu.Lock()
	e.processes = append(e.processes, p)
	e.mu.Unlock()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// node is an entry instance.
type node struct {
	*process
	name, front, ready string
}

// startNodes starts a number of entry instances and waits until they are ready.
func (e *environment) startNodes(count int, s site) ([]*node, error) {
	nodes, errs := make([]*node, count), make([]error, count)
	var wg sync.WaitGroup
	for i := range nodes {
		wg.Go(func() { nodes[i], errs[i] = e.startNode(firstMachine+i, s) })
	}
	wg.Wait()
	return nodes, errors.Join(errs...)
}

// startNode starts an entry instance with the command of the deploy file, and waits until it is ready.
func (e *environment) startNode(machine int, s site) (*node, error) {
	ip := loopback(machine)
	var ports [3]int
	for i := range ports {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	n := &node{name: fmt.Sprintf("edge-%d", machine), front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	path := filepath.Join(e.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf(settings, n.name, ip, zones[machine%len(zones)], ports[2], ports[2]+15, n.front, n.ready, s.memoryMB, s.machineLosses,
		s.stableWindowMs, s.ackMs, s.catchUpSeconds, s.drainMs, s.configApplyMs, s.maxSkewMs, s.budgetSlack, s.recoverSeconds, s.transitMs, s.versionMs, s.versionAllMs, e.store.address)), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "forward")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PAPAYAWORKS_NODE_FILE=" + path}
	p, err := e.start(cmd, n.name+".log")
	if err != nil {
		return nil, err
	}
	n.process = p
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			e.record("%s is ready on %s, pid %d", n.name, n.front, cmd.Process.Pid)
			return n, nil
		}
	}
	return nil, fmt.Errorf("%s is not ready", n.name)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// settings is the settings file of an instance.
const settings = `node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 2
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = %d
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = %d
ack_ms = %d
catch_up_s = %d
drain_ms = %d
grace_s = 8
loss_slack_ms = 200
config_apply_ms = %d
rollback_slack_ms = 250
max_skew_ms = %d
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = %d
recover_s = %d
transit_ms = %d
reuse_window_s = 20
require_fencing = true
lease_ms = 3000
thaw_ms = 300
version_ms = %d
version_all_ms = %d
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

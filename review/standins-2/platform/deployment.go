package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the deployment, as in the examples of the platform's messages.
const (
	routeHost   = "pule25.example"
	plainPath   = "/wuhu344/"
	enginePath  = "/cufi501/"
	plainName   = "kafi81c"
	engineName  = "huvo11a"
	modelName   = "daka510000"
	readyWait   = 10 * time.Second
	programPath = "target/papayaworks"
)

// deployment is a small deployment: the project's program as processes, with stand-ins of the platform's store and of workers.
type deployment struct {
	folder, temp string
	record       *record
	store        *store
	workers      []*worker
	instances    []*instance
	// net is the second and third byte of the deployment's loopback addresses.
	net string
	// plainKind is the kind of the route of plain requests, plainTimeoutMs its time-out.
	plainKind      string
	plainTimeoutMs int
	tenants        []map[string]any
	// kvStore is the store of kept KV cache; nil if there is none.
	kvStore *kvStore
	version int
}

// instance is one process of the program, with the link between it and the store.
type instance struct {
	name, front, ready, settings string
	link                         *link
	// stopping reports that the platform has stopped the instance and sends it no new connections.
	stopping atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

// newDeployment starts a store.
func newDeployment(folder string, rec *record) (*deployment, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder: folder, temp: temp, record: rec, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), plainKind: "safe", plainTimeoutMs: 8000,
	}
	d.store, err = startStore(d.net + ".250")
	return d, err
}

// publish writes a configuration with the present tenants and returns the time of its acknowledgement.
func (d *deployment) publish() time.Time {
	d.version += 3
	services := []map[string]any{
		{"name": plainName, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": false},
		{"name": engineName, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 103909, "kv_token_bytes": 163840, "link_mbps": 550000.0, "managed": true, "max_concurrent": 12, "models": []map[string]any{{"name": modelName}},
		}},
	}
	if d.kvStore != nil {
		services = append(services, map[string]any{
			"name": "lovo22d", "kv_store_addr": d.kvStore.address, "zone": "medina", "kv_capacity_tokens": 740750, "link_mbps": 420000.0, "max_concurrent": 12, "managed": true, "first_ms": 6.0,
		})
	}
	return d.store.put("keyed.op", "config", map[string]any{
		"version": d.version,
		"routes": []map[string]any{
			{"name": "r-plain", "host": routeHost, "path_prefix": plainPath, "kind": d.plainKind, "timeout_ms": d.plainTimeoutMs, "target_latency_ms": 150, "priority": 2, "service": plainName, "max_attempts": 2, "public": false},
			{"name": "r-engine", "host": routeHost, "path_prefix": enginePath, "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 400, "priority": 0, "service": engineName, "max_attempts": 2, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300},
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  d.tenants,
	})
}

// addWorkers starts plain or model workers.
func (d *deployment) addWorkers(n int, model string, answerBytes int, duration time.Duration) error {
	service := plainName
	if model != "" {
		service = engineName
	}
	for range n {
		w := &worker{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: "medina", model: model, answerBytes: answerBytes, duration: duration}
		if err := w.start(fmt.Sprintf("%s.%d", d.net, 100+len(d.workers)), d.store); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	return nil
}

// addInstances starts instances and waits until they are ready.
func (d *deployment) addInstances(n int) error {
	for i := range n {
		ip := fmt.Sprintf("%s.%d", d.net, 1+i)
		l, err := startLink(ip, d.store.address)
		if err != nil {
			return err
		}
		in := &instance{name: fmt.Sprintf("edge-medina-%d", i+1), front: freeAddress(ip), ready: freeAddress(ip), link: l}
		in.settings = filepath.Join(d.temp, in.name+".toml")
		if err := os.WriteFile(in.settings, []byte(d.settings(in, ip)), 0o600); err != nil {
			return err
		}
		d.instances = append(d.instances, in)
		if err := d.startInstance(in); err != nil {
			return err
		}
	}
	for _, in := range d.instances {
		if !in.waitReady() {
			return fmt.Errorf("%s is not ready", in.name)
		}
	}
	return nil
}

func freeAddress(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// settings returns the settings file of an instance, with the bounds of the site ctks-mesures.
func (d *deployment) settings(in *instance, ip string) string {
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = "medina"
region = "sfax"
internal_ports = [7700, 7715]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"]
[zones]
medina = "sfax"
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
keep_s = 300
`, in.name, ip, in.front, in.ready, in.link.address)
}

// startInstance starts the process of an instance with the command of the deploy file.
func (d *deployment) startInstance(in *instance) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	var err error
	if in.log, err = os.OpenFile(filepath.Join(d.temp, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	in.cmd = exec.Command(programPath, "forward")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAWORKS_NODE_FILE=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return in.cmd.Start()
}

// isReady reports whether the instance answers its readiness check with 200.
func (in *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + in.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until the instance is ready.
func (in *instance) waitReady() bool {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if in.isReady() {
			return true
		}
	}
	return false
}

// signal sends a signal to the process.
func (in *instance) signal(s os.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.cmd.Process.Signal(s)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does, and returns how long the process took to end.
func (in *instance) terminate() time.Duration {
	start := time.Now()
	in.signal(syscall.SIGTERM)
	kill := time.AfterFunc(8*time.Second, func() { in.signal(syscall.SIGKILL) })
	defer kill.Stop()
	_ = in.cmd.Wait()
	_ = in.log.Close()
	return time.Since(start)
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, in := range d.instances {
		in.mu.Lock()
		if in.cmd != nil && in.cmd.ProcessState == nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
		in.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.temp)
	}
}

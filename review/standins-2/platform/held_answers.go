package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings in bytes, and memoryInterval the time between two looks at what the process uses.
	memoryLimit    = 134 << 20
	memoryInterval = 50 * time.Millisecond
	// heldAnswerBytes is the length of an answer, heldRate the number of requests a second.
	heldAnswerBytes = 3_000_000
	heldRate        = 10
	heldTime        = 20 * time.Second
	// heldRunTime is how long a worker takes for a request.
	heldRunTime = time.Second
	// slowRate and fastRate are the bytes a second that a client reads.
	slowRate, fastRate = 240_000, 50_000_000
	// heldDeadlineMs is the time budget of a request, and the time-out of the route.
	heldDeadlineMs = 15000
	// allowedLosses is how many connections the rule allows to be closed.
	allowedLosses = 3
)

// heldAnswers sends requests at a steady rate on kept connections and reads the answers slowly. The platform kills a process that exceeds its
// memory. LOST is broken if more than allowedLosses kept connections are closed without any byte of an answer, after their request was passed on
// to a worker.
func heldAnswers(d *deployment, trouble bool) (bool, error) {
	d.plainTimeoutMs = heldDeadlineMs
	d.tenants = []map[string]any{{"name": "bozi300", "api_keys": []string{"key-bozi300"}, "priority": 1}}
	d.publish()
	if err := d.addWorkers(6, "", heldAnswerBytes, heldRunTime); err != nil {
		return false, err
	}
	if err := d.addInstances(1); err != nil {
		return false, err
	}
	in := d.instances[0]
	time.Sleep(stableWindow + time.Second)
	rate := fastRate
	if trouble {
		rate = slowRate
	}
	var peak atomic.Int64
	var killed atomic.Bool
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(memoryInterval):
			}
			used := residentBytes(in.cmd.Process.Pid)
			peak.Store(max(peak.Load(), used))
			if used > memoryLimit {
				d.record.line("%s uses %d MB, the platform kills it", in.name, used>>20)
				killed.Store(true)
				in.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	var mu sync.Mutex
	closed := map[string]bool{}
	var complete, refused, cut atomic.Int64
	var clients sync.WaitGroup
	for range heldRate * int(heldTime/time.Second) {
		if killed.Load() {
			break
		}
		clients.Go(func() {
			id := newID()
			isKept, status, n, err := readOnKept(in, id, rate)
			switch {
			case !isKept:
				d.record.line("no kept connection for %s: %v", id, err)
			case err != nil && status == 0:
				mu.Lock()
				closed[id] = true
				mu.Unlock()
				d.record.line("kept connection of %s closed without an answer: %v", id, err)
			case err == nil && status == http.StatusOK && n == heldAnswerBytes:
				complete.Add(1)
			case err == nil:
				refused.Add(1)
				d.record.line("answer to %s: status %d", id, status)
			default:
				cut.Add(1)
				d.record.line("connection of %s ended after %d of %d bytes of the answer: %v", id, n, heldAnswerBytes, err)
			}
		})
		time.Sleep(time.Second / heldRate)
	}
	clients.Wait()
	close(done)
	lost := 0
	for _, w := range d.workers {
		for _, r := range w.allRuns() {
			if closed[r.id] {
				lost++
			}
		}
	}
	d.record.line("at most %d MB of %d MB used, killed: %v; %d complete answers, %d refused, %d answers cut off, %d kept connections closed without an answer, of whose requests %d were passed on to a worker",
		peak.Load()>>20, memoryLimit>>20, killed.Load(), complete.Load(), refused.Load(), cut.Load(), len(closed), lost)
	return lost > allowedLosses, nil
}

// readOnKept opens a connection, sends a first request on it that is answered in full speed, and then the one with the given ID, whose answer it
// reads at a rate. It returns whether that request was sent on the kept connection, the status of the answer, 0 if not all of its head has
// arrived, and how many bytes of its body have.
func readOnKept(in *instance, id string, rate int) (bool, int, int, error) {
	nd := net.Dialer{Timeout: time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		// Segments as on an Ethernet link and a receive buffer of 64 KB: on the loopback interface the kernel would else take megabytes ahead
		// of the reader.
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1448)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	nc, err := nd.Dial("tcp", in.front)
	if err != nil {
		return false, 0, 0, err
	}
	defer nc.Close()
	r := &pacedReader{r: nc, rate: fastRate}
	buffered := bufio.NewReaderSize(r, 16<<10)
	exchange := func(id string) (int, int, error) {
		if _, err := nc.Write(request("GET", plainPath+"2f", id, "key-bozi300", "", heldDeadlineMs, nil)); err != nil {
			return 0, 0, err
		}
		res, err := http.ReadResponse(buffered, &http.Request{Method: "GET"})
		if err != nil {
			return 0, 0, err
		}
		n, err := io.Copy(io.Discard, res.Body)
		return res.StatusCode, int(n), err
	}
	if status, _, err := exchange(newID()); err != nil || status != http.StatusOK {
		return false, status, 0, err
	}
	r.pace(rate)
	status, n, err := exchange(id)
	return true, status, n, err
}

// pacedReader reads at a rate.
type pacedReader struct {
	r     io.Reader
	rate  int
	start time.Time
	n     int
}

// pace sets the rate from now on.
func (p *pacedReader) pace(rate int) { p.rate, p.start, p.n = rate, time.Now(), 0 }

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.start.IsZero() {
		p.start = time.Now()
	}
	time.Sleep(time.Until(p.start.Add(time.Duration(float64(p.n) / float64(p.rate) * float64(time.Second)))))
	n, err := p.r.Read(b)
	p.n += n
	return n, err
}

// residentBytes returns the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

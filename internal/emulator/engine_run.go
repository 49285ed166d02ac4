package emulator

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// run is one run and the stream that it has generated so far.
type run struct {
	req    dialer.RunRequest
	ctx    context.Context
	cancel context.CancelFunc
	slot   chan struct{} // closed when the run gets a slot
	seq    int64         // order of arrival

	mu      sync.Mutex
	readers int
	started bool
	start   dialer.RunStart
	chunks  []dialer.RunChunk
	end     *dialer.RunEnd
	changed chan struct{} // closed at the next update
}

// update applies f under the lock and wakes the readers of the stream.
func (r *run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// addReaders adds n, which may be negative, to the number of stream readers.
func (r *run) addReaders(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
}

// runQueue orders waiting runs by priority, then by arrival.
type runQueue []*run

func (q runQueue) Len() int { return len(q) }
func (q runQueue) Less(i, j int) bool {
	if q[i].req.Priority != q[j].req.Priority {
		return q[i].req.Priority > q[j].req.Priority
	}
	return q[i].seq < q[j].seq
}
func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *runQueue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (e *Engine) postRun(w http.ResponseWriter, r *http.Request) {
	var in dialer.RunRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	rn := e.runs[in.Run]
	if rn == nil {
		if status, reason := e.refusalReason(&in); status != 0 {
			e.mu.Unlock()
			writeError(w, status, "%s", reason)
			return
		}
		rn = e.startRun(in)
	}
	e.mu.Unlock()
	e.stream(w, r, rn, atoi(r.URL.Query().Get("from")))
}

// refusalReason returns the status and text with which the engine refuses a run, or 0 if it accepts it. e.mu must be held.
func (e *Engine) refusalReason(in *dialer.RunRequest) (int, string) {
	v, ok := e.Models[in.Model]
	switch {
	case e.draining:
		if time.Since(e.drainedAt) > 3*time.Second {
			e.groundTruth.RunRequestsAfterDrain++
		}
		return http.StatusServiceUnavailable, "draining"
	case e.faults.RefuseRuns:
		return http.StatusServiceUnavailable, "starting"
	case !ok:
		return http.StatusNotFound, "model " + in.Model + " is not loaded"
	case in.Version != 0 && in.Version != v:
		return http.StatusConflict, fmt.Sprintf("version %d is loaded, not %d", v, in.Version)
	}
	return 0, ""
}

// startRun queues a run. e.mu must be held.
func (e *Engine) startRun(in dialer.RunRequest) *run {
	ctx, cancel := context.WithCancel(context.Background())
	if in.Version == 0 {
		in.Version = e.Models[in.Model]
	}
	e.groundTruth.Runs++
	rn := &run{
		req: in, ctx: ctx, cancel: cancel, slot: make(chan struct{}), seq: int64(e.groundTruth.Runs),
		changed: make(chan struct{}),
	}
	e.runs[in.Run] = rn
	e.waitingTokens += in.PromptTokens
	heap.Push(&e.queue, rn)
	e.admit()
	go e.execute(rn)
	return rn
}

// admit assigns free slots to queued runs. e.mu must be held.
func (e *Engine) admit() {
	for e.running < e.Slots && e.queue.Len() > 0 {
		rn := heap.Pop(&e.queue).(*run)
		e.running++
		close(rn.slot)
	}
}

func (e *Engine) execute(rn *run) {
	select {
	case <-rn.slot:
	case <-rn.ctx.Done():
		e.leaveQueue(rn)
		return
	}
	defer e.finish(rn)
	start := e.prepare(rn)
	if rn.ctx.Err() != nil {
		rn.update(func() { rn.end = &dialer.RunEnd{FinishReason: "cancelled"} })
		return
	}
	rn.update(func() { rn.started, rn.start = true, start })
	e.decode(rn)
}

// leaveQueue ends a run that was cancelled while queued. If the run got a slot in the meantime, the slot is released.
func (e *Engine) leaveQueue(rn *run) {
	e.mu.Lock()
	if i := slices.Index(e.queue, rn); i >= 0 {
		heap.Remove(&e.queue, i)
		e.waitingTokens -= rn.req.PromptTokens
		e.mu.Unlock()
		rn.update(func() { rn.end = &dialer.RunEnd{FinishReason: "cancelled"} })
		return
	}
	e.waitingTokens -= rn.req.PromptTokens
	e.mu.Unlock()
	rn.update(func() { rn.end = &dialer.RunEnd{FinishReason: "cancelled"} })
	e.finish(rn)
}

func (e *Engine) finish(rn *run) {
	e.mu.Lock()
	e.running--
	e.admit()
	e.mu.Unlock()
	time.AfterFunc(finishedRunTTL, func() {
		e.mu.Lock()
		delete(e.runs, rn.req.Run)
		e.mu.Unlock()
	})
}

// prepare builds the KV cache of the prompt: it uses cached blocks, imports stored blocks and prefills the rest.
func (e *Engine) prepare(rn *run) dialer.RunStart {
	in := &rn.req
	start := dialer.RunStart{Run: in.Run, Version: in.Version}
	cached := e.countCached(in)
	imported := 0
	if in.Import != nil {
		for cached+imported < len(in.BlockKeys) && cached+imported < len(in.Import.Manifest.Blocks) {
			mb := in.Import.Manifest.Blocks[cached+imported]
			if mb.Key != in.BlockKeys[cached+imported] {
				break
			}
			b, size, ok := e.importBlock(rn.ctx, in.Import, mb)
			start.ImportBytes += size
			e.mu.Lock()
			e.groundTruth.ImportBytes += size
			if !ok {
				e.groundTruth.FailedBlockImports++
				e.mu.Unlock()
				break
			}
			e.recordUse(in, b)
			e.cache.put(b)
			e.mu.Unlock()
			imported++
		}
	}
	start.CachedTokens = cached * keyer.BlockTokens
	start.ImportedTokens = imported * keyer.BlockTokens
	start.RecomputedTokens = max(0, in.PromptTokens-start.CachedTokens-start.ImportedTokens)
	e.prefill(rn, start)
	return start
}

func (e *Engine) countCached(in *dialer.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range in.BlockKeys {
		b, ok := e.cache.get(k)
		if !ok {
			break
		}
		e.recordUse(in, b)
		n++
	}
	return n
}

// recordUse counts the use of a block that belongs to another account or weight version. e.mu must be held.
func (e *Engine) recordUse(in *dialer.RunRequest, b cachedBlock) {
	if b.account != in.Account {
		e.groundTruth.CrossAccountBlocks++
	}
	if b.version != in.Version {
		e.groundTruth.StaleVersionBlocks++
	}
}

// prefill waits for its turn on the prefill unit, which serves one run at a time, and caches the blocks of the prompt.
func (e *Engine) prefill(rn *run, start dialer.RunStart) {
	e.mu.Lock()
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	e.prefillFreeAt = e.prefillFreeAt.Add(scale(seconds(float64(start.RecomputedTokens)/e.PrefillTokensPerSec), e.Speed))
	d := e.prefillFreeAt.Sub(now)
	e.mu.Unlock()
	sleeper.Sleep(rn.ctx, d)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waitingTokens -= rn.req.PromptTokens
	e.groundTruth.RecomputedTokens += int64(start.RecomputedTokens)
	e.groundTruth.CachedTokens += int64(start.CachedTokens)
	e.groundTruth.ImportedTokens += int64(start.ImportedTokens)
	for _, k := range rn.req.BlockKeys {
		e.cache.put(cachedBlock{key: k, account: rn.req.Account, version: rn.req.Version})
	}
}

// decode appends the chunks of the response at the decode rate.
func (e *Engine) decode(rn *run) {
	h := PromptHash(rn.req.Prompt)
	started := time.Now()
	for i := range rn.req.MaxTokens {
		due := started.Add(scale(seconds(float64(i)/e.DecodeTokensPerSec), e.Speed))
		if !sleeper.Sleep(rn.ctx, time.Until(due)) {
			rn.update(func() { rn.end = &dialer.RunEnd{Offset: i, FinishReason: "cancelled"} })
			return
		}
		c := dialer.RunChunk{Offset: i, Text: ResponseChunk(h, rn.req.Seed, i), Tokens: 1}
		rn.update(func() { rn.chunks = append(rn.chunks, c) })
	}
	rn.update(func() { rn.end = &dialer.RunEnd{Offset: rn.req.MaxTokens, FinishReason: "stop"} })
}

func (e *Engine) getRun(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	rn := e.runs[r.PathValue("run")]
	e.mu.Unlock()
	if rn == nil {
		writeError(w, http.StatusNotFound, "no run %q", r.PathValue("run"))
		return
	}
	e.stream(w, r, rn, atoi(r.URL.Query().Get("from")))
}

func (e *Engine) deleteRun(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	rn := e.runs[r.PathValue("run")]
	e.mu.Unlock()
	if rn == nil {
		writeError(w, http.StatusNotFound, "no run %q", r.PathValue("run"))
		return
	}
	rn.mu.Lock()
	readers := rn.readers
	rn.mu.Unlock()
	if r.URL.Query().Get("idle") == "1" && readers > 0 {
		writeError(w, http.StatusConflict, "run %q has %d readers", r.PathValue("run"), readers)
		return
	}
	rn.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// stream writes the events of a run, starting at a chunk offset, until the run ends or the client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, rn *run, from int) {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	fl, _ := w.(http.Flusher)
	rn.addReaders(1)
	defer rn.addReaders(-1)
	sentStart := false
	for {
		rn.mu.Lock()
		started, start, end, changed := rn.started, rn.start, rn.end, rn.changed
		var chunks []dialer.RunChunk
		if from < len(rn.chunks) {
			chunks = slices.Clone(rn.chunks[from:])
		}
		rn.mu.Unlock()
		if started && !sentStart {
			writeEvent(w, "start", start)
			sentStart = true
		}
		from += len(chunks)
		if f.BreakStreamAt > 0 && from > f.BreakStreamAt {
			dropConnection(w)
			return
		}
		for _, c := range shuffle(chunks, f.ShuffleStream) {
			writeEvent(w, "piece", c)
		}
		if end != nil && from >= end.Offset {
			writeEvent(w, "end", end)
			fl.Flush()
			return
		}
		if sentStart {
			fl.Flush()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// shuffle returns the chunks in reverse order with the first one repeated, or unchanged if on is false.
func shuffle(chunks []dialer.RunChunk, on bool) []dialer.RunChunk {
	if !on || len(chunks) == 0 {
		return chunks
	}
	out := slices.Clone(chunks)
	slices.Reverse(out)
	return append(out, chunks[0])
}

func writeEvent(w http.ResponseWriter, event string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, data)
}

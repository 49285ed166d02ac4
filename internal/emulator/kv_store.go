package emulator

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// KVStoreFaults selects the faults that a [KVStore] injects.
type KVStoreFaults struct {
	// Full makes every write fail.
	Full bool
	// LinkSlowdown divides the rate of the link; values up to 1 have no effect.
	LinkSlowdown float64
	// CorruptReads flips one bit of each block that is read.
	CorruptReads bool
	// TruncateWrites stores only half of the content of each block, like a writer that died during the transfer.
	TruncateWrites bool
}

// KVStore emulates a KV store instance: blocks and manifests in two tiers behind one rate-limited link. A block has a short
// content and a declared length; transfer times and capacities use the declared length. A capacity of 0 is unlimited, and a
// link rate of 0 transfers without delay.
type KVStore struct {
	ID, Addr          string
	LinkBytesPerSec   float64
	DiskBytesPerSec   float64
	MemoryBytes       int64
	DiskBytes         int64
	Speed             float64
	server            *listener.Server
	mu                sync.Mutex
	blocks            map[keyer.Key]storedBlock
	manifests         map[keyer.Key]dialer.Manifest
	used              map[string]int64 // declared bytes by tier
	faults            KVStoreFaults
	linkFreeAt        time.Time // when the queued transfers complete
	linkBytes, misses int64
}

type storedBlock struct {
	content []byte
	length  int64
	tier    string
}

// Start starts the HTTP server of an empty store and returns its address.
func (s *KVStore) Start() (string, error) {
	s.blocks = map[keyer.Key]storedBlock{}
	s.manifests = map[keyer.Key]dialer.Manifest{}
	s.used = map[string]int64{}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{key}", s.putBlock)
	mux.HandleFunc("GET /v1/blocks/{key}", s.getBlock)
	mux.HandleFunc("PUT /v1/manifests/{anchor}", s.putManifest)
	mux.HandleFunc("GET /v1/manifests/{anchor}", s.getManifest)
	mux.HandleFunc("DELETE /v1/manifests/{anchor}", s.deleteManifest)
	mux.HandleFunc("GET /v1/state", s.state)
	s.server = &listener.Server{Addr: orLoopback(s.Addr), Handler: mux}
	addr, err := s.server.Start()
	s.Addr = addr
	return addr, err
}

// Kill stops the server; its blocks and manifests are lost.
func (s *KVStore) Kill() { s.server.Kill() }

// SetFaults replaces the injected faults.
func (s *KVStore) SetFaults(f KVStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ManifestCount returns the number of manifests, one for each stored conversation.
func (s *KVStore) ManifestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.manifests)
}

// LinkBytes returns the number of bytes sent and received over the link.
func (s *KVStore) LinkBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linkBytes
}

// reserveLink queues a transfer of n bytes on the link and returns the time until it completes. s.mu must be held.
func (s *KVStore) reserveLink(n int64, tier string) time.Duration {
	rate := s.LinkBytesPerSec
	if tier == dialer.TierDisk && s.DiskBytesPerSec > 0 && s.DiskBytesPerSec < rate {
		rate = s.DiskBytesPerSec
	}
	if s.faults.LinkSlowdown > 1 {
		rate /= s.faults.LinkSlowdown
	}
	s.linkBytes += n
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(scale(seconds(float64(n)/rate), s.Speed))
	return s.linkFreeAt.Sub(now)
}

func parseKey(w http.ResponseWriter, text string) (keyer.Key, bool) {
	var k keyer.Key
	if err := k.UnmarshalText([]byte(text)); err != nil {
		writeError(w, http.StatusBadRequest, "bad key %q", text)
		return k, false
	}
	return k, true
}

func (s *KVStore) putBlock(w http.ResponseWriter, r *http.Request) {
	k, ok := parseKey(w, r.PathValue("key"))
	if !ok {
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	length := int64(atoi(r.URL.Query().Get("length")))
	tier := r.URL.Query().Get("tier")
	s.mu.Lock()
	limit := s.MemoryBytes
	if tier == dialer.TierDisk {
		limit = s.DiskBytes
	}
	if s.faults.Full || (limit > 0 && s.used[tier]+length > limit) {
		s.mu.Unlock()
		writeError(w, http.StatusInsufficientStorage, "tier %s is full", tier)
		return
	}
	if s.faults.TruncateWrites {
		content = content[:len(content)/2]
	}
	if old, ok := s.blocks[k]; ok {
		s.used[old.tier] -= old.length
	}
	s.blocks[k] = storedBlock{content: content, length: length, tier: tier}
	s.used[tier] += length
	d := s.reserveLink(length, tier)
	s.mu.Unlock()
	sleeper.Sleep(r.Context(), d)
	w.WriteHeader(http.StatusNoContent)
}

func (s *KVStore) getBlock(w http.ResponseWriter, r *http.Request) {
	k, ok := parseKey(w, r.PathValue("key"))
	if !ok {
		return
	}
	s.mu.Lock()
	b, ok := s.blocks[k]
	if !ok {
		s.misses++
		s.mu.Unlock()
		writeError(w, http.StatusNotFound, "no block %s", k)
		return
	}
	content := append([]byte(nil), b.content...)
	if s.faults.CorruptReads && len(content) > 0 {
		content[0] ^= 1
	}
	d := s.reserveLink(b.length, b.tier)
	s.mu.Unlock()
	sleeper.Sleep(r.Context(), d)
	_, _ = w.Write(content)
}

func (s *KVStore) putManifest(w http.ResponseWriter, r *http.Request) {
	var m dialer.Manifest
	k, ok := parseKey(w, r.PathValue("anchor"))
	if !ok || !readJSON(w, r, &m) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full {
		writeError(w, http.StatusInsufficientStorage, "store is full")
		return
	}
	if old, ok := s.manifests[k]; ok && old.Generation >= m.Generation {
		writeError(w, http.StatusConflict, "manifest generation %d is not above the stored %d", m.Generation, old.Generation)
		return
	}
	s.manifests[k] = m
	w.WriteHeader(http.StatusNoContent)
}

func (s *KVStore) getManifest(w http.ResponseWriter, r *http.Request) {
	k, ok := parseKey(w, r.PathValue("anchor"))
	if !ok {
		return
	}
	s.mu.Lock()
	m, ok := s.manifests[k]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no manifest %s", k)
		return
	}
	writeJSON(w, http.StatusOK, m)
}

// deleteManifest removes a manifest before its blocks, so that no reader follows a manifest to a freed block. If the request
// states a generation, only a manifest of that generation is removed.
func (s *KVStore) deleteManifest(w http.ResponseWriter, r *http.Request) {
	k, ok := parseKey(w, r.PathValue("anchor"))
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.manifests[k]
	if q := r.URL.Query().Get("generation"); q != "" && q != strconv.FormatInt(m.Generation, 10) {
		writeError(w, http.StatusConflict, "stored manifest has generation %d", m.Generation)
		return
	}
	delete(s.manifests, k)
	for _, b := range m.Blocks {
		if old, ok := s.blocks[b.Key]; ok {
			s.used[old.tier] -= old.length
			delete(s.blocks, b.Key)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *KVStore) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, dialer.StoreState{
		MemoryUsed: s.used[dialer.TierMemory], DiskUsed: s.used[dialer.TierDisk], Manifests: len(s.manifests),
		LinkBacklogMs: max(0, time.Until(s.linkFreeAt).Milliseconds()), LinkBytes: s.linkBytes,
	})
}

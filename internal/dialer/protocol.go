package dialer

import (
	"hash/crc32"

	"github.com/papayaworks/papayaworks/internal/keyer"
)

// castagnoli is the table of the checksum of blocks.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// RunRequest asks an engine for a run. A second request with the same run attaches to the first.
type RunRequest struct {
	Run          string      `json:"run"`
	Account      string      `json:"account"`
	Model        string      `json:"model"`
	Version      int64       `json:"version"`
	Adapter      string      `json:"adapter,omitempty"`
	Prompt       string      `json:"prompt"`
	BlockKeys    []keyer.Key `json:"keys"`
	PromptTokens int         `json:"promptTokens"`
	MaxTokens    int         `json:"maxTokens"`
	Seed         int64       `json:"seed"`
	Priority     int         `json:"priority"`
	Import       *Import     `json:"import,omitempty"`
	// DeadlineMs is how long the caller waits for the first token; an engine refuses what it cannot start by then.
	DeadlineMs int `json:"deadlineMs,omitempty"`
}

// Import names stored blocks that the engine reads before it computes the rest of the prompt.
type Import struct {
	StoreAddress string   `json:"storeAddress"`
	Manifest     Manifest `json:"manifest"`
}

// RunStart is the first event of a stream.
type RunStart struct {
	Run              string `json:"run"`
	Version          int64  `json:"version"`
	CachedTokens     int    `json:"cachedTokens"`
	ImportedTokens   int    `json:"importedTokens"`
	RecomputedTokens int    `json:"recomputedTokens"`
	ImportBytes      int64  `json:"importBytes"`
}

// RunChunk is one piece of the answer.
type RunChunk struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// RunEnd is the last event of a stream.
type RunEnd struct {
	Offset       int    `json:"offset"`
	FinishReason string `json:"finish"`
}

// ExportRequest asks an engine to write blocks of a finished run to a store.
type ExportRequest struct {
	Anchor       keyer.Key   `json:"anchor"`
	Account      string      `json:"account"`
	Model        string      `json:"model"`
	Version      int64       `json:"version"`
	BlockKeys    []keyer.Key `json:"keys"`
	StoreAddress string      `json:"storeAddress"`
	Tier         string      `json:"tier"`
	Generation   int64       `json:"generation"`
	// StoredBlocks are the leading blocks that the store holds already; they are listed in the new manifest, not written again.
	StoredBlocks []ManifestBlock `json:"stored,omitempty"`
}

// CacheEvent tells that a block came or went.
type CacheEvent struct {
	Seq   int64     `json:"seq"`
	Kind  string    `json:"kind"`
	Block keyer.Key `json:"block"`
}

// Load is what an engine reports of itself, with a lag.
type Load struct {
	AtMs           int64 `json:"atMs"`
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	WaitingTokens  int   `json:"waitingTokens"`
	Blocks         int   `json:"blocks"`
	CapacityBlocks int   `json:"capacityBlocks"`
	Draining       bool  `json:"draining"`
}

// Command tells an engine what to become. Fence is the fencing number of the sender's lease.
type Command struct {
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	FencingToken int64  `json:"fence"`
	// NotAfterMs is the wall-clock time after which the order must not be carried out; 0 means no bound.
	NotAfterMs int64 `json:"notAfterMs"`
}

// The kinds of orders.
const (
	CommandLoad   = "load"
	CommandDrain  = "drain"
	CommandResume = "resume"
)

// EngineState is the state that an engine reports to its controller.
type EngineState struct {
	Versions map[string]int64 `json:"versions"`
	Loading  bool             `json:"loading"`
	Draining bool             `json:"draining"`
	// Leaving: the engine's machine is about to stop; no order ends that.
	Leaving      bool  `json:"leaving"`
	Running      int   `json:"running"`
	FencingToken int64 `json:"fence"`
}

// ManifestBlock describes one stored block.
type ManifestBlock struct {
	Key      keyer.Key `json:"key"`
	Length   int64     `json:"length"`
	Checksum uint32    `json:"checksum"`
}

// Manifest lists the readable blocks of a conversation in order; it is written after all of them.
type Manifest struct {
	Anchor     keyer.Key       `json:"anchor"`
	Account    string          `json:"account"`
	Model      string          `json:"model"`
	Version    int64           `json:"version"`
	Generation int64           `json:"generation"`
	Blocks     []ManifestBlock `json:"blocks"`
	Tier       string          `json:"tier"`
}

// The tiers of a store.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
)

// StoreState is what a store reports of itself.
type StoreState struct {
	MemoryUsed    int64 `json:"memoryUsed"`
	DiskUsed      int64 `json:"diskUsed"`
	Manifests     int   `json:"manifests"`
	LinkBacklogMs int64 `json:"linkBacklogMs"`
	LinkBytes     int64 `json:"linkBytes"`
}

// Checksum returns the checksum of a block's content.
func Checksum(content []byte) uint32 {
	return crc32.Checksum(content, castagnoli)
}

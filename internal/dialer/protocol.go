package dialer

import (
	"hash/crc32"

	"github.com/papayaworks/papayaworks/internal/keyer"
)

// castagnoli is the CRC-32C table for block checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// RunRequest starts a run at an engine. A second request with the same run ID attaches to the existing run.
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
	// DeadlineMs is how long the caller waits for the first token, in milliseconds. An engine refuses a run that it cannot
	// start in that time.
	DeadlineMs int `json:"deadlineMs,omitempty"`
}

// Import lists stored blocks that the engine imports before it computes the remaining prompt.
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

// RunChunk is one chunk of the response. Offset is its index in the response, starting at 0.
type RunChunk struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// RunEnd is the last event of a stream. Offset is the number of chunks in the response.
type RunEnd struct {
	Offset       int    `json:"offset"`
	FinishReason string `json:"finish"`
}

// ExportRequest asks an engine to write blocks of a finished run to a KV store.
type ExportRequest struct {
	Anchor       keyer.Key   `json:"anchor"`
	Account      string      `json:"account"`
	Model        string      `json:"model"`
	Version      int64       `json:"version"`
	BlockKeys    []keyer.Key `json:"keys"`
	StoreAddress string      `json:"storeAddress"`
	Tier         string      `json:"tier"`
	Generation   int64       `json:"generation"`
	// StoredBlocks are the leading blocks that the store already holds. The new manifest lists them, but the engine does not
	// write them again.
	StoredBlocks []ManifestBlock `json:"stored,omitempty"`
}

// CacheEvent reports that a block was cached or evicted.
type CacheEvent struct {
	Seq   int64     `json:"seq"`
	Kind  string    `json:"kind"`
	Block keyer.Key `json:"block"`
}

// Load is a load report of an engine. It describes the engine at AtMs, so a reader sees it with a delay.
type Load struct {
	AtMs           int64 `json:"atMs"`
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	WaitingTokens  int   `json:"waitingTokens"`
	Blocks         int   `json:"blocks"`
	CapacityBlocks int   `json:"capacityBlocks"`
	Draining       bool  `json:"draining"`
}

// Command instructs an engine to load weights, drain or resume. FencingToken is the token of the sender's lease.
type Command struct {
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Version      int64  `json:"version"`
	FencingToken int64  `json:"fence"`
	// NotAfterMs is the wall-clock time, in milliseconds since the epoch, after which the engine must not execute the
	// command; 0 means no limit.
	NotAfterMs int64 `json:"notAfterMs"`
}

// The kinds of commands.
const (
	CommandLoad   = "load"
	CommandDrain  = "drain"
	CommandResume = "resume"
)

// EngineState is the state that an engine reports to the instances.
type EngineState struct {
	Versions map[string]int64 `json:"versions"`
	Loading  bool             `json:"loading"`
	Draining bool             `json:"draining"`
	// Leaving reports that the engine's machine is about to stop. No command can cancel this.
	Leaving      bool  `json:"leaving"`
	Running      int   `json:"running"`
	FencingToken int64 `json:"fence"`
}

// ManifestBlock describes one stored block. Length is in bytes, Checksum is the result of [Checksum] on its content.
type ManifestBlock struct {
	Key      keyer.Key `json:"key"`
	Length   int64     `json:"length"`
	Checksum uint32    `json:"checksum"`
}

// Manifest lists the stored blocks of a conversation in order. It is written after all blocks, so every block that it lists
// is readable.
type Manifest struct {
	Anchor     keyer.Key       `json:"anchor"`
	Account    string          `json:"account"`
	Model      string          `json:"model"`
	Version    int64           `json:"version"`
	Generation int64           `json:"generation"`
	Blocks     []ManifestBlock `json:"blocks"`
	Tier       string          `json:"tier"`
}

// The storage tiers of a KV store.
const (
	TierMemory = "memory"
	TierDisk   = "disk"
)

// StoreState is the state that a KV store reports.
type StoreState struct {
	// MemoryUsed and DiskUsed are the bytes in each tier, Manifests is the number of manifests.
	MemoryUsed int64 `json:"memoryUsed"`
	DiskUsed   int64 `json:"diskUsed"`
	Manifests  int   `json:"manifests"`
	// LinkBacklogMs is how long the queued transfers occupy the link, in milliseconds. LinkBytes counts all bytes transferred
	// over the link.
	LinkBacklogMs int64 `json:"linkBacklogMs"`
	LinkBytes     int64 `json:"linkBytes"`
}

// Checksum returns the CRC-32C checksum of the content of a block.
func Checksum(content []byte) uint32 {
	return crc32.Checksum(content, castagnoli)
}

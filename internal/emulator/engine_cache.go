package emulator

import (
	"bytes"
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/sleeper"
)

// cachedBlock is a block in accelerator memory, with the account and weight version that it was computed for.
type cachedBlock struct {
	key     keyer.Key
	account string
	version int64
}

// blockCache is a least-recently-used cache of blocks that records an event for each added and evicted block.
type blockCache struct {
	capacity int
	lru      *list.List
	byKey    map[keyer.Key]*list.Element
	events   []dialer.CacheEvent
	seq      int64
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, lru: list.New(), byKey: map[keyer.Key]*list.Element{}}
}

func (c *blockCache) len() int { return c.lru.Len() }

func (c *blockCache) get(k keyer.Key) (cachedBlock, bool) {
	el, ok := c.byKey[k]
	if !ok {
		return cachedBlock{}, false
	}
	c.lru.MoveToFront(el)
	return el.Value.(cachedBlock), true
}

func (c *blockCache) put(b cachedBlock) {
	if _, ok := c.get(b.key); ok {
		return
	}
	c.byKey[b.key] = c.lru.PushFront(b)
	c.publish("added", b.key)
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		old := c.lru.Remove(last).(cachedBlock)
		delete(c.byKey, old.key)
		c.publish("evicted", old.key)
	}
}

func (c *blockCache) clear() {
	for k := range c.byKey {
		c.publish("evicted", k)
	}
	c.lru.Init()
	clear(c.byKey)
}

func (c *blockCache) publish(kind string, k keyer.Key) {
	c.seq++
	c.events = append(c.events, dialer.CacheEvent{Seq: c.seq, Kind: kind, Block: k})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// events responds with the cache events after a sequence number.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []dialer.CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after && (!e.faults.DropCacheEvents || ev.Seq%2 == 0) {
			out = append(out, ev)
		}
	}
	writeJSON(w, http.StatusOK, map[string][]dialer.CacheEvent{"events": out})
}

// blockContent returns the content of a block; its key stands in for the key and value tensors.
func blockContent(b cachedBlock) []byte {
	return fmt.Appendf(nil, "%s|%d|%s", b.account, b.version, b.key)
}

// importBlock fetches one block from a store and verifies length, checksum and content. It returns the block, the bytes that
// the transfer cost and whether the block is valid; an invalid block must not be used.
func (e *Engine) importBlock(ctx context.Context, im *dialer.Import, mb dialer.ManifestBlock) (cachedBlock, int64, bool) {
	u := "http://" + im.StoreAddress + "/v1/blocks/" + mb.Key.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return cachedBlock{}, 0, false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return cachedBlock{}, 0, false
	}
	defer res.Body.Close()
	content, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return cachedBlock{}, 0, false
	}
	declared := int64(keyer.BlockTokens * e.BytesPerToken)
	b := cachedBlock{key: mb.Key, account: im.Manifest.Account, version: im.Manifest.Version}
	if mb.Length != declared || mb.Checksum != dialer.Checksum(content) || !bytes.Equal(content, blockContent(b)) {
		return cachedBlock{}, declared, false
	}
	return b, declared, true
}

// export writes the cached blocks that the store does not have yet, up to the first one that is neither stored nor cached,
// and then the manifest, so that a manifest never names a missing block.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var in dialer.ExportRequest
	if !readJSON(w, r, &in) {
		return
	}
	m := dialer.Manifest{
		Anchor: in.Anchor, Account: in.Account, Model: in.Model, Version: in.Version,
		Generation: in.Generation, Tier: in.Tier,
	}
	length := int64(keyer.BlockTokens * e.BytesPerToken)
	for i, k := range in.BlockKeys {
		if i < len(in.StoredBlocks) && in.StoredBlocks[i].Key == k {
			m.Blocks = append(m.Blocks, in.StoredBlocks[i])
			continue
		}
		e.mu.Lock()
		b, ok := e.cache.get(k)
		e.mu.Unlock()
		if !ok || b.account != in.Account || b.version != in.Version {
			break
		}
		content := blockContent(b)
		q := url.Values{"length": {strconv.FormatInt(length, 10)}, "tier": {in.Tier}}
		if err := e.put(r.Context(), "http://"+in.StoreAddress+"/v1/blocks/"+k.String()+"?"+q.Encode(), content); err != nil {
			writeError(w, http.StatusInsufficientStorage, "%v", err)
			return
		}
		e.mu.Lock()
		e.groundTruth.ExportBytes += length
		e.mu.Unlock()
		m.Blocks = append(m.Blocks, dialer.ManifestBlock{Key: k, Length: length, Checksum: dialer.Checksum(content)})
	}
	if len(m.Blocks) == 0 {
		writeError(w, http.StatusNotFound, "no block of the prompt is cached")
		return
	}
	body, err := json.Marshal(m)
	if err == nil {
		err = e.put(r.Context(), "http://"+in.StoreAddress+"/v1/manifests/"+in.Anchor.String(), body)
	}
	if err != nil {
		writeError(w, http.StatusInsufficientStorage, "%v", err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"blocks": len(m.Blocks)})
}

// prefetch imports blocks ahead of an expected run.
func (e *Engine) prefetch(w http.ResponseWriter, r *http.Request) {
	var in dialer.Import
	if !readJSON(w, r, &in) {
		return
	}
	n := 0
	for _, mb := range in.Manifest.Blocks {
		b, size, ok := e.importBlock(r.Context(), &in, mb)
		e.mu.Lock()
		e.groundTruth.ImportBytes += size
		if ok {
			e.cache.put(b)
			n++
		}
		e.mu.Unlock()
		if !ok {
			break
		}
	}
	writeJSON(w, http.StatusOK, map[string]int{"blocks": n})
}

func (e *Engine) put(ctx context.Context, u string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("store responded with status %s", res.Status)
	}
	return nil
}

// fetchWeights takes as long as loading a weight version. A request to the weight store continues if the client disconnects.
func (e *Engine) fetchWeights(r *http.Request, cmd dialer.Command) error {
	if e.WeightStoreAddr == "" {
		sleeper.Sleep(r.Context(), scale(seconds(float64(e.WeightLoadMs)/1000), e.Speed))
		return nil
	}
	u := fmt.Sprintf("http://%s/v1/weights/%s/%d?ms=%d", e.WeightStoreAddr, url.PathEscape(cmd.Model), cmd.Version, e.WeightLoadMs)
	req, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), http.MethodGet, u, http.NoBody)
	if err != nil {
		return err
	}
	res, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("weight store responded with status %s", res.Status)
	}
	return nil
}

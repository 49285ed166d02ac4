package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
)

var benchTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// benchRecords returns the intent and the done record of key i.
func benchRecords(i int) []appender.Record {
	var id AttemptID
	binary.BigEndian.PutUint64(id[:], uint64(i)+1)
	body := HashOf([]byte("body"))
	r := Record{Key: NewKey(benchTime, uint64(i), uint64(i)), Account: "dispatch", AttemptID: id[:], Owner: "kochi-a-1", BodyHash: body[:]}
	intent, done := r, r
	intent.Kind, done.Kind, done.BodyHash = kindIntent, kindDone, nil
	done.Status, done.ContentType, done.Body, done.Length = 200, "application/json", make([]byte, 100), 100
	return []appender.Record{
		{Offset: int64(2 * i), AppendedAt: benchTime, Data: intent.Encode()},
		{Offset: int64(2*i + 1), AppendedAt: benchTime, Data: done.Encode()},
	}
}

func benchFold(keys int) *Fold {
	f := NewFold(24 * time.Hour)
	for i := range keys {
		f.Apply(appender.Batch{Records: benchRecords(i)})
	}
	return f
}

// BenchmarkLedgerDecision measures one decision of an attempt in a fold of many keys.
func BenchmarkLedgerDecision(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			f := benchFold(keys)
			key := keyHash("dispatch", NewKey(benchTime, 7, 7))
			b.ReportAllocs()
			for b.Loop() {
				a := Attempt{ID: AttemptID{1}, KeyHash: key, BodyHash: HashOf([]byte("body")), AbandonAt: benchTime, Deadline: benchTime}
				a.Next(f.Get(a.KeyHash, a.ID), benchTime)
			}
		})
	}
}

// BenchmarkLedgerFold measures applying the intent and the done record of one key.
func BenchmarkLedgerFold(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			f := benchFold(keys)
			records := benchRecords(keys)
			b.ReportAllocs()
			for b.Loop() {
				records[0].Offset, records[1].Offset = f.NextOffset(), f.NextOffset()+1
				f.Apply(appender.Batch{Records: records})
			}
		})
	}
}

// BenchmarkLedgerMemory reports the heap bytes per key in the fold.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := benchFold(keys)
				b.ReportMetric(float64(heapBytes()-before)/float64(f.Len()), "B/key")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

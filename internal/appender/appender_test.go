package appender

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/emulator"
)

// startWriter runs a writer on log until the test ends.
func startWriter(t *testing.T, log Log, set func(*Writer)) *Writer {
	w := NewWriter(log, "s")
	if set != nil {
		set(w)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

// Guards against exceeding the append budget, dropping or reordering records within a batch, and returning the wrong
// offset.
func TestWriterBatchesWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewFake(nil)
		w := startWriter(t, log, func(w *Writer) { w.AppendsPerSec, w.WriterCount = 200, func() int { return 20 } })
		const n = 1000
		var wg sync.WaitGroup
		start := time.Now()
		for i := range n {
			wg.Go(func() {
				data := fmt.Appendf(nil, "%d", i)
				offset, err := w.Append(t.Context(), data)
				if err != nil {
					t.Error(err)
					return
				}
				b, err := log.Read(t.Context(), "s", offset, 1, 0)
				if err != nil || string(b.Records[0].Data) != string(data) {
					t.Errorf("offset %d: %v", offset, err)
				}
			})
		}
		wg.Wait()
		// At most one append per 100 ms and 256 records per append; the first append may hold a single record.
		require.LessOrEqual(t, log.AppendCount(), 5)
		require.Less(t, time.Since(start), 500*time.Millisecond)
	})
}

// Each case guards against a wrong result of an append during one kind of fault.
func TestWriterFaults(t *testing.T) {
	tests := map[string]struct {
		faults  Faults
		heal    time.Duration // after which the faults end
		timeout time.Duration
		ok      bool
		maybe   bool
		records int
	}{
		"outage ends in time":      {faults: Faults{Down: true}, heal: 2 * time.Second, timeout: 10 * time.Second, ok: true, records: 1},
		"outage until the timeout": {faults: Faults{Down: true}, heal: time.Minute, timeout: time.Second, maybe: true},
		"slow log":                 {faults: Faults{Delay: 3 * time.Second}, heal: time.Minute, timeout: 10 * time.Second, ok: true, records: 1},
		"slower than the timeout":  {faults: Faults{Delay: 3 * time.Second}, heal: time.Minute, timeout: time.Second, maybe: true, records: 1},
		"duplicated by a proxy":    {faults: Faults{Duplicate: true}, heal: time.Minute, timeout: time.Second, ok: true, records: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := NewFake(nil)
				w := startWriter(t, log, nil)
				log.SetFaults(tc.faults)
				time.AfterFunc(tc.heal, func() { log.SetFaults(Faults{}) })
				ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
				defer cancel()
				_, err := w.Append(ctx, []byte("x"))
				require.Equal(t, tc.ok, err == nil, "%v", err)
				require.Equal(t, tc.maybe, MayHaveAppended(err))
				<-time.After(2 * time.Minute)
				b, err := log.Read(t.Context(), "s", 0, 0, 0)
				require.NoError(t, err)
				require.Len(t, b.Records, tc.records)
			})
		})
	}
}

// Guards against reporting a lost response as a failed append: the writer retries, and both copies stay on the log.
func TestWriterRetriesAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewFake(nil)
		log.SetFaults(Faults{DropResponses: true})
		time.AfterFunc(25*time.Millisecond, func() { log.SetFaults(Faults{}) })
		_, err := startWriter(t, log, nil).Append(t.Context(), []byte("x"))
		require.NoError(t, err)
		b, err := log.Read(t.Context(), "s", 0, 0, 0)
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(b.Records), 2)
	})
}

// Guards against unbounded memory during an outage, and against reporting that records which were never sent may have
// been appended.
func TestWriterIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWriter(NewFake(nil), "s") // not running
		ctx, cancel := context.WithCancel(t.Context())
		errs := make(chan error, maxQueuedRecords+1)
		for range maxQueuedRecords + 1 {
			go func() {
				_, err := w.Append(ctx, nil)
				errs <- err
			}()
		}
		require.ErrorIs(t, <-errs, error(ErrQueueFull))
		cancel()
		for range maxQueuedRecords {
			require.False(t, MayHaveAppended(<-errs))
		}
	})
}

// Guards against a follower that stops during an outage, skips records or hides a gap left by expired records.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewFake(nil)
		log.Retention = time.Hour
		var next, gap int64
		var got []string
		f := &Follower{Log: log, Stream: "s", NextOffset: func() int64 { return next }, OnBatch: func(from int64, b Batch) {
			gap += max(0, b.OldestOffset-from)
			for _, r := range b.Records {
				got = append(got, string(r.Data))
			}
			next = b.NextOffset
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		put := func(s string) {
			_, err := log.Append(t.Context(), "s", [][]byte{[]byte(s)})
			require.NoError(t, err)
			<-time.After(time.Second)
			synctest.Wait()
		}
		put("a")
		put("b")
		log.SetFaults(Faults{Down: true})
		<-time.After(time.Minute)
		log.SetFaults(Faults{})
		<-time.After(3 * time.Second)
		put("c")
		require.Equal(t, []string{"a", "b", "c"}, got)
		require.Zero(t, gap)
		cancel()
		synctest.Wait()
		put("expired")
		<-time.After(2 * time.Hour)
		put("d")
		ctx, cancel = context.WithCancel(t.Context())
		go f.Run(ctx)
		<-time.After(time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"a", "b", "c", "d"}, got)
		require.EqualValues(t, 1, gap)
	})
}

// Guards against a client that deviates from the log's HTTP protocol.
func TestClientAgainstEmulator(t *testing.T) {
	log := &emulator.Log{}
	addr, err := log.Start()
	require.NoError(t, err)
	defer log.Kill()
	c := &Client{Addr: addr}
	first, err := c.Append(t.Context(), "a b", [][]byte{[]byte("x"), []byte("y")})
	require.NoError(t, err)
	require.Zero(t, first)
	b, err := c.Read(t.Context(), "a b", 1, 10, 0)
	require.NoError(t, err)
	require.Equal(t, "y", string(b.Records[0].Data))
	require.EqualValues(t, 2, b.NextOffset)

	polled := make(chan Batch, 1)
	go func() {
		b, _ := c.Read(t.Context(), "a b", 2, 10, 20*time.Second)
		polled <- b
	}()
	_, err = c.Append(t.Context(), "a b", [][]byte{[]byte("z")})
	require.NoError(t, err)
	require.Equal(t, "z", string((<-polled).Records[0].Data))

	log.SetFaults(emulator.LogFaults{DropAppendResponses: true})
	_, err = c.Append(t.Context(), "a b", [][]byte{nil})
	require.True(t, MayHaveAppended(err))
	log.SetFaults(emulator.LogFaults{Down: true})
	_, err = c.Read(t.Context(), "a b", 0, 1, 0)
	require.Error(t, err)
}

// Each case guards against reporting that nothing was appended when the append may have taken effect.
func TestMaybeSent(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"connection refused": {&net.OpError{Op: "dial", Err: errors.New("refused")}, false},
		"connection reset":   {&net.OpError{Op: "read", Err: errors.New("reset")}, true},
		"timeout":            {context.DeadlineExceeded, true},
		"bad request":        {&statusError{status: http.StatusBadRequest}, false},
		"unavailable":        {&statusError{status: http.StatusServiceUnavailable}, true},
		"gateway timeout":    {&statusError{status: http.StatusGatewayTimeout}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, maybeSent(tc.err)) })
	}
}

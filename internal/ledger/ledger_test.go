package ledger

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
)

// cluster is two ledgers on one fake log, with a target that counts its runs.
type cluster struct {
	log     *appender.Fake
	ledgers []*Ledger
	runs    atomic.Int64
	body    []byte
	err     error
	sent    bool
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{log: appender.NewFake(nil), body: []byte("confirmed"), sent: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, owner := range []string{"a", "b"} {
		l := &Ledger{Log: c.log, Owner: owner, Asserter: &asserter.Asserter{PanicOnViolation: true}}
		l.Start(ctx)
		c.ledgers = append(c.ledgers, l)
	}
	return c
}

func (c *cluster) send(context.Context) (*Response, bool, error) {
	if c.sent {
		c.runs.Add(1)
	}
	if c.err != nil {
		return nil, c.sent, c.err
	}
	return &Response{Status: 201, ContentType: "text/plain", Body: c.body}, true, nil
}

func (c *cluster) do(i int, key, body string) Result {
	req := Request{Account: "a", Key: key, BodyHash: HashOf([]byte(body)), Deadline: time.Now().Add(10 * time.Second)}
	return c.ledgers[i].Do(context.Background(), req, c.send)
}

// Each case guards against a wrong outcome of a first attempt at one instance or of a retry at the other.
func TestLedgerOutcomes(t *testing.T) {
	refused, lost := errors.New("connection refused"), errors.New("response lost")
	tests := map[string]struct {
		prepare      func(*cluster)
		between      func(*cluster)
		retryBody    string
		first, retry Outcome
		runs         int64
		check        func(*testing.T, Result)
	}{
		"retry gets the first response": {first: Responded, retry: Responded, runs: 1, check: func(t *testing.T, r Result) {
			require.True(t, r.Replayed)
			require.Equal(t, &Response{Status: 201, ContentType: "text/plain", Body: []byte("confirmed")}, r.Response)
		}},
		"long response is not recorded": {
			prepare: func(c *cluster) { c.body = bytes.Repeat([]byte("x"), MaxBodyBytes+1) },
			first:   Responded, retry: Responded, runs: 1, check: func(t *testing.T, r Result) {
				require.Equal(t, 201, r.Response.Status)
				require.Contains(t, r.Response.Note, "16385 bytes")
			}},
		"other body is refused": {retryBody: "other", first: Responded, retry: BodyMismatch, runs: 1},
		"log unavailable: nothing is sent, and the retry runs": {
			prepare: func(c *cluster) { c.log.SetFaults(appender.Faults{Down: true}) },
			between: func(c *cluster) { c.log.SetFaults(appender.Faults{}) },
			first:   Unknown, retry: Responded, runs: 1},
		"lost append responses are harmless": {
			prepare: func(c *cluster) { c.log.SetFaults(appender.Faults{DropResponses: true}) },
			first:   Responded, retry: Responded, runs: 1},
		"duplicate appends are harmless": {
			prepare: func(c *cluster) { c.log.SetFaults(appender.Faults{Duplicate: true}) },
			first:   Responded, retry: Responded, runs: 1},
		"refused connection releases the key": {
			prepare: func(c *cluster) { c.err, c.sent = refused, false },
			between: func(c *cluster) { c.err, c.sent = nil, true },
			first:   NotRun, retry: Responded, runs: 1},
		"lost response of the target stays unknown": {
			prepare: func(c *cluster) { c.err = lost },
			between: func(c *cluster) { c.err = nil },
			first:   Unknown, retry: Unknown, runs: 1},
		"slow log: the request is delayed but in time": {
			prepare: func(c *cluster) { c.log.SetFaults(appender.Faults{Delay: 1500 * time.Millisecond}) },
			first:   Responded, retry: Responded, runs: 1},
		"log too slow for the deadline: nothing is sent": {
			prepare: func(c *cluster) { c.log.SetFaults(appender.Faults{Delay: 3 * time.Second}) },
			between: func(c *cluster) { c.log.SetFaults(appender.Faults{}) },
			first:   Unknown, retry: Responded, runs: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				key := NewKey(time.Now(), 1, 2)
				if tc.prepare != nil {
					tc.prepare(c)
				}
				require.Equal(t, tc.first, c.do(0, key, "").Outcome)
				if tc.between != nil {
					tc.between(c)
				}
				require.NoError(t, c.ledgers[0].Flush(t.Context()))
				r := c.do(1, key, tc.retryBody)
				require.Equal(t, tc.retry, r.Outcome, r.Reason)
				require.Equal(t, tc.runs, c.runs.Load())
				if tc.check != nil {
					tc.check(t, r)
				}
			})
		})
	}
}

// Guards against a takeover: after its owner died with an intent on the log, a retry must wait until its deadline and
// end as unknown.
func TestRetryAfterOwnerDeathIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		key := NewKey(time.Now(), 1, 2)
		orphan := Record{Kind: kindIntent, Key: key, Account: "a", AttemptID: make([]byte, idBytes), BodyHash: bodyHashBytes("")}
		_, err := c.log.Append(t.Context(), StreamName(0), [][]byte{orphan.Encode()})
		require.NoError(t, err)
		start := time.Now()
		require.Equal(t, Unknown, c.do(0, key, "").Outcome)
		require.Equal(t, 10*time.Second, time.Since(start))
		require.Zero(t, c.runs.Load())
	})
}

// Guards against the outcome "not run" for a finished or held key while the log is unavailable.
func TestKnownKeysInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		finished, held := NewKey(time.Now(), 1, 2), NewKey(time.Now(), 3, 4)
		require.Equal(t, Responded, c.do(0, finished, "").Outcome)
		r := Record{Kind: kindIntent, Key: held, Account: "a", AttemptID: make([]byte, idBytes), BodyHash: bodyHashBytes("")}
		_, err := c.log.Append(t.Context(), StreamName(0), [][]byte{r.Encode()})
		require.NoError(t, err)
		require.NoError(t, c.ledgers[0].Flush(t.Context()))
		<-time.After(time.Second)
		c.log.SetFaults(appender.Faults{Down: true})
		res := c.do(0, finished, "")
		require.Equal(t, Responded, res.Outcome)
		require.Equal(t, 201, res.Response.Status)
		require.NotEmpty(t, res.Response.Note)
		require.Equal(t, Unknown, c.do(0, held, "").Outcome)
		require.EqualValues(t, 1, c.runs.Load())
	})
}

// Guards against a key that stays held when an outage starts after the intent was appended and before it is read back:
// the owner must release the key without sending the request, so that a retry runs.
func TestOutageAfterIntentFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		key := NewKey(time.Now(), 1, 2)
		c.log.SetFaults(appender.Faults{Delay: 100 * time.Millisecond})
		time.AfterFunc(150*time.Millisecond, func() { c.log.SetFaults(appender.Faults{Down: true, Delay: 100 * time.Millisecond}) })
		require.Equal(t, Unknown, c.do(0, key, "").Outcome)
		c.log.SetFaults(appender.Faults{})
		require.NoError(t, c.ledgers[0].Flush(t.Context()))
		require.Equal(t, Responded, c.do(1, key, "").Outcome)
		require.EqualValues(t, 1, c.runs.Load())
	})
}

func bodyHashBytes(s string) []byte {
	h := HashOf([]byte(s))
	return h[:]
}

// Guards against two runs when many callers use one key concurrently at two instances.
func TestConcurrentAttemptsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		key := NewKey(time.Now(), 1, 2)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				if r := c.do(i%2, key, ""); r.Outcome != Responded {
					t.Errorf("outcome %v: %s", r.Outcome, r.Reason)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, c.runs.Load())
	})
}

// Guards against accepting keys whose intent may have expired from the log, and keys without a time stamp.
func TestCheckKey(t *testing.T) {
	now := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		key string
		ok  bool
	}{
		"now":            {NewKey(now, 1, 2), true},
		"old upper case": {"019B76DA-A800-7001-8000-000000000001", false}, // one day old
		"oldest":         {NewKey(now.Add(-24*time.Hour+10*time.Minute), 1, 2), true},
		"too old":        {NewKey(now.Add(-24*time.Hour+10*time.Minute-time.Millisecond), 1, 2), false},
		"newest":         {NewKey(now.Add(5*time.Minute), 1, 2), true},
		"too new":        {NewKey(now.Add(5*time.Minute+time.Millisecond), 1, 2), false},
		"missing":        {"", false},
		"version 4":      {"f47ac10b-58cc-4372-a567-0e02b2c3d479", false},
		"not a UUID":     {"order-1", false},
		"wrong variant":  {"01890a5d-ac96-774b-7cce-b302099a8057", false},
		"no hexadecimal": {"01890a5d-ac96-774b-bcce-b302099a805z", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := CheckKey(tc.key, now, 24*time.Hour)
			require.Equal(t, tc.ok, err == nil, "%v", err)
		})
	}
}

// Guards against unbounded memory: keys and abandoned attempts must be removed after the retention.
func TestFoldExpiresAfterRetention(t *testing.T) {
	f := NewFold(time.Hour)
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 100 {
		for j, kind := range []string{kindIntent, kindAbandon} {
			r := Record{Kind: kind, Key: NewKey(at, uint64(i), 1), Account: "a", AttemptID: bodyHashBytes(string(rune(i))), BodyHash: bodyHashBytes("")}
			f.Apply(appender.Batch{Records: []appender.Record{{Offset: int64(2*i + j), AppendedAt: at, Data: r.Encode()}}})
		}
		at = at.Add(time.Minute)
		f.Expire(at)
	}
	require.LessOrEqual(t, f.Len(), 61)
	require.LessOrEqual(t, len(f.abandoned), 61)
	f.Expire(at.Add(2 * time.Hour))
	require.Zero(t, f.Len()+len(f.abandoned)+len(f.keyExpiry)+len(f.abandonExpiry))
}

// Guards against records that crash a reader or change when encoded again.
func FuzzLedgerRecord(f *testing.F) {
	f.Add((&Record{Kind: kindIntent, Key: "k", Account: "a", AttemptID: make([]byte, idBytes), BodyHash: make([]byte, idBytes)}).Encode())
	f.Add((&Record{Kind: kindDone, Key: "k", AttemptID: make([]byte, idBytes), Status: 200, Body: []byte("x"), Length: 1}).Encode())
	f.Add([]byte{0x81, 0xa4, 'k', 'i', 'n', 'd', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(r.Encode())
		require.NoError(t, err)
		require.Equal(t, r.Encode(), again.Encode())
		fold := NewFold(time.Hour)
		fold.Apply(appender.Batch{Records: []appender.Record{{Data: data}}})
		require.LessOrEqual(t, fold.Len(), 1)
	})
}

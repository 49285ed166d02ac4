package gossiper

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/gossiper/certtest"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// instance is a Gossiper on the loopback interface with the state that its callbacks received.
type instance struct {
	*Gossiper
	addr    string
	files   certtest.Files
	members atomic.Pointer[[]Record]
	leaving atomic.Pointer[map[string]time.Time]
	// usage holds received payloads by the sender's id and the first three bytes of the payload.
	usage     sync.Map
	source    *configRecord
	logBuffer *safeBuffer
}

// safeBuffer is a log buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) has(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Contains(s.b.Bytes(), []byte(text))
}

// configRecord is a ConfigSource whose record is the version number as text.
type configRecord struct {
	version atomic.Int64
	g       *Gossiper
}

func (r *configRecord) Current() []byte { return strconv.AppendInt(nil, r.version.Load(), 10) }

func (r *configRecord) Adopt(b []byte) error {
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return err
	}
	if n <= r.version.Load() {
		return errors.New("not newer")
	}
	r.version.Store(n)
	r.g.SetConfig(n)
	return nil
}

// Payloads implements UsageExchanger.
func (in *instance) Payloads(time.Time) (local, wide []byte) {
	return []byte("usage of " + in.Self.ID), []byte("sum of " + in.Self.ID)
}

// Merge implements UsageExchanger.
func (in *instance) Merge(from string, body []byte) {
	in.usage.Store(from+string(body[:3]), string(body))
}

func (in *instance) alive() (n int) {
	if ms := in.members.Load(); ms != nil {
		for _, m := range *ms {
			if m.State == Alive {
				n++
			}
		}
	}
	return n
}

func startInstance(t testing.TB, ca *certtest.Authority, id string, seeds ...string) *instance {
	in := &instance{source: &configRecord{}, logBuffer: &safeBuffer{}}
	var err error
	in.files, err = ca.Issue(t.TempDir(), id)
	require.NoError(t, err)
	creds, err := LoadCredentials(in.files.Certificate, in.files.Key, in.files.Authority)
	require.NoError(t, err)
	in.Gossiper = &Gossiper{
		Self: Identity{ID: id, DataCentre: "kochi-a"}, Listen: "127.0.0.1:0", Seeds: seeds, Period: 20 * time.Millisecond,
		Credentials: creds, Config: in.source, Usage: in, Log: logger.New(in.logBuffer, id, logrus.InfoLevel),
		Recorder:         recorder.New(recorder.NewClock(time.Now), id, 256, nil),
		OnMembers:        func(rs []Record) { in.members.Store(&rs) },
		OnLeavingTargets: func(m map[string]time.Time) { in.leaving.Store(&m) },
	}
	in.source.g = in.Gossiper
	in.addr, err = in.Start(t.Context())
	require.NoError(t, err)
	t.Cleanup(in.Kill)
	return in
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 20*time.Second, 5*time.Millisecond)
}

func newAuthority(t testing.TB) *certtest.Authority {
	ca, err := certtest.New("test")
	require.NoError(t, err)
	return ca
}

// Guards against observations, configurations and payloads that are lost over real connections, and against a graceful stop
// that other instances treat as a crash.
func TestInstancesOverQUIC(t *testing.T) {
	ca := newAuthority(t)
	a := startInstance(t, ca, "a")
	b := startInstance(t, ca, "b", a.addr)
	c := startInstance(t, ca, "c", a.addr)
	all := []*instance{a, b, c}
	every := func(ok func(*instance) bool) func() bool {
		return func() bool { return ok(a) && ok(b) && ok(c) }
	}
	eventually(t, every(func(in *instance) bool { return in.alive() == len(all) }))

	b.SetTargetLeaving("letters-1", true, time.Now().Add(time.Hour))
	eventually(t, every(func(in *instance) bool { m := in.leaving.Load(); return m != nil && !(*m)["letters-1"].IsZero() }))

	c.source.version.Store(7)
	c.SetConfig(7)
	eventually(t, every(func(in *instance) bool { return in.source.version.Load() == 7 }))
	eventually(t, func() bool {
		local, _ := a.usage.Load("cusa")
		wide, _ := a.usage.Load("csum")
		return local == "usage of c" && wide == "sum of c"
	})

	c.Leave(t.Context())
	left := func(in *instance) bool {
		ms := *in.members.Load()
		return len(ms) == len(all) && ms[2].State == Left
	}
	eventually(t, func() bool { return left(a) && left(b) })
}

// Guards against an instance with a certificate from another authority that joins, reads the configuration or discovers
// members.
func TestOtherAuthorityIsRefused(t *testing.T) {
	ca := newAuthority(t)
	a := startInstance(t, ca, "a")
	b := startInstance(t, ca, "b", a.addr)
	stranger := startInstance(t, newAuthority(t), "stranger", a.addr, b.addr)
	eventually(t, func() bool { return a.alive() == 2 && b.alive() == 2 })
	eventually(t, func() bool { return stranger.logBuffer.has("certificate") })

	// The stranger may complete its side of the handshake, since it does not verify the peer, but it must not receive data.
	creds, err := LoadCredentials(stranger.files.Certificate, stranger.files.Key, stranger.files.Authority)
	require.NoError(t, err)
	conf := creds.config()
	conf.VerifyConnection = nil
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, a.addr, conf, quicConfig(time.Second))
	if err == nil {
		var s *quic.Stream
		if s, err = conn.OpenStreamSync(ctx); err == nil {
			_, _ = io.WriteString(s, configRequest)
			_ = s.Close()
			_, err = io.ReadAll(s)
		}
	}
	var te *quic.TransportError
	require.ErrorAs(t, err, &te)
	require.True(t, te.ErrorCode.IsCryptoError(), "%v", te)
	require.Equal(t, 2, a.alive())
	require.Zero(t, stranger.alive())
}

// Guards against an authority rotation that needs a restart, and against an instance that keeps its connections although
// the new authority did not issue its certificate.
func TestCertificatesAreReloaded(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	a := startInstance(t, oldCA, "a")
	b := startInstance(t, oldCA, "b", a.addr)
	c := startInstance(t, oldCA, "c", a.addr)
	eventually(t, func() bool { return a.alive() == 3 && b.alive() == 3 && c.alive() == 3 })
	for _, in := range []*instance{a, b} {
		replace(t, newCA, in)
	}
	// c still has the old certificate: it is disconnected, while a and b reconnect.
	withoutC := func(in *instance) bool { return in.alive() == 2 }
	eventually(t, func() bool { return withoutC(a) && withoutC(b) && c.alive() <= 1 })
	replace(t, newCA, c)
	eventually(t, func() bool { return a.alive() == 3 && b.alive() == 3 && c.alive() == 3 })
}

// replace replaces the certificates of an instance by new ones with a different modification time.
func replace(t *testing.T, ca *certtest.Authority, in *instance) {
	fresh, err := ca.Issue(t.TempDir(), in.Self.ID)
	require.NoError(t, err)
	later := time.Now().Add(time.Minute)
	for from, to := range map[string]string{
		fresh.Certificate: in.files.Certificate, fresh.Key: in.files.Key, fresh.Authority: in.files.Authority,
	} {
		require.NoError(t, os.Chtimes(from, later, later))
		require.NoError(t, os.Rename(from, to))
	}
}

// BenchmarkConnection measures the memory of one end of an open connection: both ends are in this process, so the total is
// halved.
func BenchmarkConnection(b *testing.B) {
	ca := newAuthority(b)
	a, c := startInstance(b, ca, "a"), startInstance(b, ca, "b")
	const n = 100
	before := heapBytes()
	var conns []*quic.Conn
	for range n {
		conn, err := c.links.dial(b.Context(), a.addr)
		require.NoError(b, err)
		c.links.wg.Go(func() { c.links.receive(conn) })
		conns = append(conns, conn)
	}
	eventually(b, func() bool { _, in := a.Connections(); return in >= n })
	b.ReportMetric(float64(heapBytes()-before)/n/2, "B/connection-end")
	b.ReportMetric(0, "ns/op")
	for _, conn := range conns {
		_ = conn.CloseWithError(closeCodeNormal, "")
	}
}

// BenchmarkTransport measures the processor time per instance and period with QUIC and TLS. Seven instances send payloads in
// every period, which is more than in operation.
func BenchmarkTransport(b *testing.B) {
	ca := newAuthority(b)
	all := []*instance{startInstance(b, ca, "a")}
	for _, id := range []string{"b", "c", "d", "e", "f", "g"} {
		all = append(all, startInstance(b, ca, id, all[0].addr))
	}
	for _, in := range all {
		eventually(b, func() bool { return in.alive() == len(all) })
	}
	start := processorTime(b)
	<-time.After(time.Duration(b.N) * all[0].Period)
	used := processorTime(b) - start
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*len(all)), "us-cpu/instance-period")
	b.ReportMetric(0, "ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

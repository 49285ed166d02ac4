package streamer

import (
	"flag"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayaworks/papayaworks/internal/dialer"
	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// A fixed seed makes failures reproducible; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func chunk(i int) dialer.RunChunk {
	return dialer.RunChunk{Offset: i, Text: strconv.Itoa(i) + " ", Tokens: 1}
}

// Guards against chunks that are returned twice, out of order or with a gap when the stream reorders, duplicates or
// loses them, and against more buffered chunks than the window allows.
func TestRandomOrderGivesCompleteResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "chunks")
		from := rapid.IntRange(0, n).Draw(t, "from")
		window := rapid.IntRange(1, 100).Draw(t, "window")
		next := from
		a := NewAssembler(from, window)
		for attempts := 0; !a.Complete(); attempts++ {
			if attempts > 0 {
				// The stream was truncated or exceeded the window, so it is read again. From the fourth attempt on it is complete
				// and in order.
				a = NewAssembler(next, window)
			}
			var order []int
			for i := range n {
				order = append(order, i)
			}
			if attempts < 3 {
				order = rapid.Permutation(order).Draw(t, "order")
				order = append(order, order[:len(order)/3]...)
				order = order[:rapid.IntRange(0, len(order)).Draw(t, "truncated at")]
			}
			ok := true
			for _, i := range order {
				ready, err := a.Add(chunk(i))
				if ok = err == nil; !ok {
					break
				}
				for _, c := range ready {
					if c != chunk(next) {
						t.Fatalf("got chunk %d, want %d", c.Offset, next)
					}
					next++
				}
				if a.Buffered() >= window || a.NextOffset() != next {
					t.Fatalf("%d chunks are buffered with a window of %d; next %d, want %d", a.Buffered(), window, a.NextOffset(), next)
				}
			}
			if ok {
				a.SetEnd(dialer.RunEnd{Offset: n})
			}
			if a.Complete() && next != n {
				t.Fatalf("complete after %d of %d chunks", next, n)
			}
			if !ok && attempts >= 3 {
				t.Fatal("chunks in order were refused")
			}
		}
	})
}

func TestBounds(t *testing.T) {
	big := strings.Repeat("x", maxBufferedBytes/2)
	tests := map[string]struct {
		chunks []dialer.RunChunk
		ok     bool
	}{
		// Guards against a negative offset, which would stay in the buffer forever.
		"negative": {[]dialer.RunChunk{{Offset: -1}}, false},
		// Guards against unbounded memory for chunks far ahead of the next one.
		"far ahead": {[]dialer.RunChunk{{Offset: 10}}, false},
		// Guards against unbounded memory for large chunks.
		"large and ahead": {[]dialer.RunChunk{{Offset: 1, Text: big}, {Offset: 2, Text: big}, {Offset: 3, Text: big}}, false},
		// Guards against a bound that counts duplicates or chunks that were already returned.
		"large duplicates": {[]dialer.RunChunk{{Offset: 1, Text: big}, {Offset: 1, Text: big}, {Offset: 1, Text: big}}, true},
		"large in order":   {[]dialer.RunChunk{{Offset: 0, Text: big}, {Offset: 1, Text: big}, {Offset: 2, Text: big}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAssembler(0, 10)
			refused := slices.ContainsFunc(tt.chunks, func(c dialer.RunChunk) bool {
				_, err := a.Add(c)
				return err != nil
			})
			require.Equal(t, tt.ok, !refused)
		})
	}
}

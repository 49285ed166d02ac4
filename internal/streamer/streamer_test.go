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

// A fixed seed makes failures repeatable; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func piece(i int) dialer.RunChunk {
	return dialer.RunChunk{Offset: i, Text: strconv.Itoa(i) + " ", Tokens: 1}
}

// Guards against pieces that are handed out twice, out of order or with a gap, whatever the order, the duplicates and
// the breaks of the stream, and against more waiting pieces than the window.
func TestRandomOrderGivesWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "pieces")
		from := rapid.IntRange(0, n).Draw(t, "from")
		window := rapid.IntRange(1, 100).Draw(t, "window")
		next := from
		a := NewAssembler(from, window)
		for tries := 0; !a.Complete(); tries++ {
			if tries > 0 {
				// The stream broke or exceeded the window; it is read again in order, as a last resort.
				a = NewAssembler(next, window)
			}
			var order []int
			for i := range n {
				order = append(order, i)
			}
			if tries < 3 {
				order = rapid.Permutation(order).Draw(t, "order")
				order = append(order, order[:len(order)/3]...)
				order = order[:rapid.IntRange(0, len(order)).Draw(t, "broken at")]
			}
			ok := true
			for _, i := range order {
				ps, err := a.Add(piece(i))
				if ok = err == nil; !ok {
					break
				}
				for _, p := range ps {
					if p != piece(next) {
						t.Fatalf("got piece %d, want %d", p.Offset, next)
					}
					next++
				}
				if a.Buffered() >= window || a.NextOffset() != next {
					t.Fatalf("%d pieces are held with a window of %d; next %d, want %d", a.Buffered(), window, a.NextOffset(), next)
				}
			}
			if ok {
				a.SetEnd(dialer.RunEnd{Offset: n})
			}
			if a.Complete() && next != n {
				t.Fatalf("complete at %d of %d", next, n)
			}
			if !ok && tries >= 3 {
				t.Fatal("pieces in order were refused")
			}
		}
	})
}

func TestBounds(t *testing.T) {
	big := strings.Repeat("x", maxHeldBytes/2)
	tests := map[string]struct {
		pieces []dialer.RunChunk
		ok     bool
	}{
		// Guards against a negative offset, which would be held for ever.
		"negative": {[]dialer.RunChunk{{Offset: -1}}, false},
		// Guards against unbounded memory for pieces far ahead.
		"far ahead": {[]dialer.RunChunk{{Offset: 10}}, false},
		// Guards against unbounded memory for large pieces.
		"large and ahead": {[]dialer.RunChunk{{Offset: 1, Text: big}, {Offset: 2, Text: big}, {Offset: 3, Text: big}}, false},
		// Guards against a bound that counts duplicates or what was handed out.
		"large duplicates": {[]dialer.RunChunk{{Offset: 1, Text: big}, {Offset: 1, Text: big}, {Offset: 1, Text: big}}, true},
		"large in order":   {[]dialer.RunChunk{{Offset: 0, Text: big}, {Offset: 1, Text: big}, {Offset: 2, Text: big}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAssembler(0, 10)
			refused := slices.ContainsFunc(tt.pieces, func(p dialer.RunChunk) bool {
				_, err := a.Add(p)
				return err != nil
			})
			require.Equal(t, tt.ok, !refused)
		})
	}
}

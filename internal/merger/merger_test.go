package merger

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// Guards against an invalid line that silently ends the file, and against a truncated last line that makes the other events
// unreadable.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		text  string
		count int
		fails bool
	}{
		"empty":          {"", 0, false},
		"blank lines":    {"\n{\"kind\":\"a\"}\n\n", 1, false},
		"truncated last": {"{\"kind\":\"a\"}\n{\"kind\":", 1, false},
		"no newline":     {"{\"kind\":\"a\"}", 1, false},
		"invalid":        {"{\"kind\":\n{\"kind\":\"a\"}\n", 0, true},
		"too long":       {strings.Repeat("x", maxLineBytes+1), 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			events, err := Read(strings.NewReader(tt.text))
			require.Equal(t, tt.fails, err != nil, "%v", err)
			require.Len(t, events, tt.count)
		})
	}
}

// Guards against an order that depends on the order of the sources, and against duplicated or dropped events.
func TestRandomMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b []recorder.Event
		for i, n := range rapid.SliceOfN(rapid.Int64Range(0, 20), 0, 30).Draw(t, "walls") {
			e := recorder.Event{At: recorder.Stamp{WallMs: n, Logical: uint32(i)}, Instance: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "at")}
			source := rapid.IntRange(0, 2).Draw(t, "source")
			if source != 0 {
				a = append(a, e)
			}
			if source != 1 {
				b = append(b, e)
			}
		}
		merged, swapped := Merge(Filter{}, a, b), Merge(Filter{}, b, a)
		x, _ := json.Marshal(merged)
		y, _ := json.Marshal(swapped)
		require.Equal(t, string(x), string(y))
		seen := map[recorder.Event]bool{}
		for i, e := range merged {
			require.False(t, seen[e])
			seen[e] = true
			require.False(t, i > 0 && e.At.Before(merged[i-1].At))
		}
		for _, e := range append(a, b...) {
			require.True(t, seen[e])
		}
	})
}

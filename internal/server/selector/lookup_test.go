package selector

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Guards against an import of blocks of another account, model, weight version or conversation, and of blocks after a
// mismatch.
func TestMatchPrefix(t *testing.T) {
	keys := []keyer.Key{{1}, {2}, {3}}
	r := &request.Request{
		Account: configurer.Account{Name: "a"}, Chat: &request.Chat{Model: "m"}, Scope: keyer.Scope{Version: 1},
		Anchor: keyer.Key{9}, Keys: keys,
	}
	for name, tc := range map[string]struct {
		change func(m *dialer.Manifest)
		want   int
	}{
		"all match": {func(*dialer.Manifest) {}, 3},
		"longer than request": {func(m *dialer.Manifest) {
			m.Blocks = append(m.Blocks, dialer.ManifestBlock{Key: keyer.Key{4}, Length: 1})
		}, 3},
		"differs in the middle": {func(m *dialer.Manifest) { m.Blocks[1].Key = keyer.Key{7} }, 1},
		"differs at start":      {func(m *dialer.Manifest) { m.Blocks[0].Key = keyer.Key{7} }, 0},
		"block without length":  {func(m *dialer.Manifest) { m.Blocks[2].Length = 0 }, 2},
		"other account":         {func(m *dialer.Manifest) { m.Account = "b" }, 0},
		"other model":           {func(m *dialer.Manifest) { m.Model = "n" }, 0},
		"other version":         {func(m *dialer.Manifest) { m.Version = 2 }, 0},
		"other conversation":    {func(m *dialer.Manifest) { m.Anchor = keyer.Key{8} }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := &dialer.Manifest{Anchor: keyer.Key{9}, Account: "a", Model: "m", Version: 1}
			for _, k := range keys {
				m.Blocks = append(m.Blocks, dialer.ManifestBlock{Key: k, Length: 1})
			}
			tc.change(m)
			got := MatchPrefix(r, m)
			if tc.want == 0 {
				require.Nil(t, got)
				return
			}
			require.Len(t, got.Blocks, tc.want)
		})
	}
}

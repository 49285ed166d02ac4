package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Guards against an import of blocks of another account, model or version, and of incomplete blocks.
func TestCheckImportRemovesInvalidImports(t *testing.T) {
	k, other := keyer.Key{1}, keyer.Key{2}
	block := dialer.ManifestBlock{Key: k, Length: 1}
	good := dialer.Manifest{Account: "a", Model: "m", Version: 3, Generation: 1, Blocks: []dialer.ManifestBlock{block}}
	with := func(change func(*dialer.Manifest)) dialer.Manifest {
		m := good
		change(&m)
		return m
	}
	tests := map[string]struct {
		manifest dialer.Manifest
		violated asserter.Invariant
	}{
		"valid":         {good, ""},
		"account":       {with(func(m *dialer.Manifest) { m.Account = "b" }), asserter.AccountIsolation},
		"version":       {with(func(m *dialer.Manifest) { m.Version = 2 }), asserter.VersionIsolation},
		"model":         {with(func(m *dialer.Manifest) { m.Model = "n" }), asserter.VersionIsolation},
		"no length":     {with(func(m *dialer.Manifest) { m.Blocks = []dialer.ManifestBlock{{Key: k}} }), asserter.BlockComplete},
		"no generation": {with(func(m *dialer.Manifest) { m.Generation = 0 }), asserter.BlockComplete},
		"other key":     {with(func(m *dialer.Manifest) { m.Blocks = []dialer.ManifestBlock{{Key: other, Length: 1}} }), asserter.BlockComplete},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got asserter.Invariant
			as := &asserter.Asserter{OnViolation: func(i asserter.Invariant) { got = i }}
			r := &request.Request{
				Account: configurer.Account{Name: "a"}, Chat: &request.Chat{Model: "m"}, Keys: []keyer.Key{k},
				Scope: keyer.Scope{Version: 3}, Import: &dialer.Import{Manifest: tt.manifest},
			}
			checkImport(as, r)
			require.Equal(t, tt.violated, got)
			require.Equal(t, tt.violated == "", r.Import != nil)
		})
	}
}

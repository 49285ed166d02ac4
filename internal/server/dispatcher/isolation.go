package dispatcher

import (
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/request"
)

// checkImport removes an import that would mix accounts, models or weight versions or that has an incomplete block, and
// reports the violated invariant. The run then recomputes the context.
func checkImport(as *asserter.Asserter, r *request.Request) {
	if r.Import == nil {
		return
	}
	m := &r.Import.Manifest
	ok := as.Check(asserter.AccountIsolation, m.Account == r.Account.Name,
		"request %s of account %q would import context of account %q", r.ID, r.Account.Name, m.Account)
	ok = as.Check(asserter.VersionIsolation, m.Version == r.Scope.Version && m.Model == r.Chat.Model,
		"request %s on version %d would import context of version %d", r.ID, r.Scope.Version, m.Version) && ok
	ok = as.Check(asserter.BlockComplete, isComplete(m, r.Keys),
		"request %s would import incomplete blocks", r.ID) && ok
	if !ok {
		r.Import = nil
	}
}

// isComplete reports whether the manifest has a generation and each of its blocks has a length and the key of the prompt
// block at the same index.
func isComplete(m *dialer.Manifest, keys []keyer.Key) bool {
	if m.Generation == 0 || len(m.Blocks) > len(keys) {
		return false
	}
	for i, b := range m.Blocks {
		if b.Key != keys[i] || b.Length <= 0 {
			return false
		}
	}
	return true
}

// checkRunVersion asserts that an engine started the run with the weight version of the request's block keys.
func checkRunVersion(as *asserter.Asserter, r *request.Request, st *dialer.RunStart) {
	// The scope of a resumed stream is unknown here; its run keeps the version that it started with.
	if r.Resume != nil || r.Scope.Version == 0 {
		return
	}
	as.Check(asserter.VersionIsolation, st.Version == r.Scope.Version,
		"run %s started with version %d, block keys are of version %d", r.RunID, st.Version, r.Scope.Version)
}

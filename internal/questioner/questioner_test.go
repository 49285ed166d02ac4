package questioner

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixes the seed
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares got with a golden file; with -update it rewrites the file.
func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err, "run go test -update to write it")
	require.Equal(t, string(want), got)
}

// Guards against an unintended change of the generated files and against output that the strict decoder rejects.
func TestGenerateGolden(t *testing.T) {
	golden(t, "empty.toml", Template())
	for name := range Examples {
		t.Run(name, func(t *testing.T) {
			text, ok := ExampleText(name)
			require.True(t, ok)
			golden(t, name+"-answers.toml", text)
			g, err := Generate(name+"-answers.toml", text)
			require.NoError(t, err)
			golden(t, name+"-config.toml", g.Text)
			again, err := configurer.Parse("config.toml", g.Text)
			require.NoError(t, err)
			require.Equal(t, g.Config, again)
			a, err := Parse("", text)
			require.NoError(t, err)
			set, err := Settings(a, a.Instances[0].ID, []string{strings.Repeat("ab", 32)})
			require.NoError(t, err)
			golden(t, name+"-instance.toml", set)
			_, err = configurer.ParseSettings("instance.toml", set)
			require.NoError(t, err)
		})
	}
}

// Guards against accepting answers that no deployment can satisfy and against a fault that does not name the answer, the
// reason and the remedy.
func TestGenerateRefuses(t *testing.T) {
	tests := map[string]struct {
		change func(a *Answers)
		key    string
		want   string
	}{
		"first token below prefill and links": {func(a *Answers) { a.Applications[0].FirstTokenMs = 50 },
			"applications[0].firstTokenMs", "allow at least"},
		"shares over 100 percent": {func(a *Answers) { a.Accounts[0].SharePercent = 60 }, "accounts", "add up to 134.00%; lower"},
		"no idempotency key": {func(a *Answers) { a.Services[0].Operations[0].IdempotencyKeyFrom = " " },
			"services[0].operations[0].idempotencyKeyFrom", "say where the caller takes the key from"},
		"doubledCall not excluded": {func(a *Answers) { a.Deployment.MustNeverHappen = nil },
			"services[0].operations[0].mayBeRepeated", "add doubledCall"},
		"account without key":               {func(a *Answers) { a.Accounts[3].KeySHA256 = "" }, "accounts[3].keySHA256", "make a key"},
		"account with truncated key":        {func(a *Answers) { a.Accounts[3].KeySHA256 = "abcd" }, "accounts[3].keySHA256", "hexadecimal"},
		"account with unknown application":  {func(a *Answers) { a.Accounts[3].Applications[0] = "x" }, "accounts[3].applications[0]", "add it to applications"},
		"data centre without targets":       {func(a *Answers) { a.addDataCentre("kochi-d") }, "dataCentres[3].name", "add a target there"},
		"data centre without link":          {func(a *Answers) { a.Links = a.Links[1:] }, "dataCentres[1].name", "add an entry to links"},
		"more than capacity":                {func(a *Answers) { a.Accounts[0].RequestsPerSecond, a.Accounts[0].PeakRequestsPerSecond = 90, 90 }, "models[0].name", "lower the rates to"},
		"promised rate above peak":          {func(a *Answers) { a.Accounts[0].RequestsPerSecond = 13 }, "accounts[0].requestsPerSecond", "raise peakRequestsPerSecond (12)"},
		"unknown operation":                 {func(a *Answers) { a.Applications[3].Operations[0] = "dispatch/x" }, "applications[3].operations[0]", "correct the name"},
		"model without engine":              {func(a *Answers) { a.Models = append(a.Models, model("spare", 1)) }, "models[1].name", "no target serves this model"},
		"context above model limit":         {func(a *Answers) { a.Models[0].ContextTokens = 4000 }, "applications[0].contextTokens", "shorten"},
		"target without models or services": {func(a *Answers) { a.Targets[0].Models = nil }, "targets[0].models", "fill in either"},
		"every engine leaving": {func(a *Answers) {
			for i := range a.Targets {
				a.Targets[i].Leaving = len(a.Targets[i].Models) > 0
			}
		}, "models[0].name", "all are leaving"},
		"unknown weighsMost":          {func(a *Answers) { a.Deployment.WeighsMost = "cost" }, "deployment.weighsMost", "write firstToken or"},
		"unknown invariant":           {func(a *Answers) { a.Deployment.MustNeverHappen[0] = "rain" }, "deployment.mustNeverHappen[0]", "choose from"},
		"wrong address":               {func(a *Answers) { a.Targets[2].Address = "engine:1" }, "targets[2].address", "IP address"},
		"deadline before first token": {func(a *Answers) { a.Applications[0].DeadlineSeconds = 0.1 }, "applications[0].deadlineSeconds", "deadline after it"},
		"no log retention":            {func(a *Answers) { a.Platform.LogRetentionHours = 0 }, "platform.logRetentionHours", "at least 1 hour"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := Trust().Answers
			tt.change(a)
			_, err := Generate("answers.toml", Render(a, nil))
			var fs configurer.Faults
			require.ErrorAs(t, err, &fs)
			for _, f := range fs {
				if f.Key == tt.key && strings.Contains(f.Allowed, tt.want) {
					require.Positive(t, f.Line, "the fault has no line number")
					return
				}
			}
			t.Fatalf("no fault of %s containing %q in:\n%v", tt.key, tt.want, err)
		})
	}
}

func (a *Answers) addDataCentre(name string) {
	for _, d := range a.DataCentres {
		a.Links = append(a.Links, Link{Between: []string{d.Name, name}, OneWayMs: 1})
	}
	a.DataCentres = append(a.DataCentres, DataCentre{Name: name, Region: "kerala", CallersMs: 1})
	a.Instances = append(a.Instances, Instance{ID: name + "-1", DataCentre: name, Listen: "10.20.0.99:1", PeerListen: "10.20.0.99:2"})
}

// Guards against a panic on, or acceptance of, an empty questionnaire.
func TestEmptyIsRefused(t *testing.T) {
	_, err := Generate("answers.toml", Template())
	var fs configurer.Faults
	require.ErrorAs(t, err, &fs)
	require.Greater(t, len(fs), 20)
}

// Guards against an accepted answer that corrupts the generated text, such as a name with quotes or a comment with a line
// break.
func TestRandomAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Trust().Answers
		text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"x", "a\nb = 1", "\"", "\x7f", "\u2028#"}))
		a.Services[0].Operations[0].IdempotencyKeyFrom = text.Draw(t, "from")
		a.Applications[0].Does = text.Draw(t, "does")
		a.Stores[0].DisabledReason = text.Draw(t, "reason")
		a.Accounts[0].SharePercent = rapid.Float64Range(-1, 40).Draw(t, "share")
		a.Applications[0].FirstTokenMs = rapid.IntRange(0, 1000).Draw(t, "first")
		a.Platform.LogRetentionHours = rapid.Float64Range(0, 1000).Draw(t, "hours")
		a.Targets[0].Leaving = rapid.Bool().Draw(t, "leaving")
		b, err := Parse("answers.toml", Render(a, nil))
		require.NoError(t, err)
		g, err := FromAnswers("answers.toml", b)
		if err != nil {
			return
		}
		cfg, err := configurer.Parse("config.toml", g.Text)
		require.NoError(t, err)
		require.Equal(t, g.Config, cfg)
		again, err := FromAnswers("answers.toml", a)
		require.NoError(t, err)
		require.Equal(t, g.Text, again.Text)
	})
}

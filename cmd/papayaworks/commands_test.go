package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/versioner"
)

// runCLI runs a command line in this process, checks its exit status and returns its output.
func runCLI(t *testing.T, want int, args ...string) (stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	require.Equal(t, want, run(args, &out, &errs), "%v: %s", args, errs.String())
	return out.String(), errs.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against a command of the operator's workflow that does not accept the output of the preceding one.
func TestWalkThrough(t *testing.T) {
	for _, user := range []string{"trust", "cooperative"} {
		t.Run(user, func(t *testing.T) {
			answers, _ := runCLI(t, exitOK, "questionnaire", "--user", user)
			before, _ := runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", answers))
			changed := writeFile(t, "answers.toml", strings.Replace(answers, "sharePercent = 26.0", "sharePercent = 20.5", 1))
			next, _ := runCLI(t, exitOK, "generate", changed)
			bare, _ := runCLI(t, exitOK, "generate", "--bare", changed)
			out, _ := runCLI(t, exitOK, "diff", writeFile(t, "bare.toml", bare), writeFile(t, "next.toml", next))
			require.Contains(t, out, "no difference")
			oldFile, nextFile := writeFile(t, "old.toml", before), writeFile(t, "next.toml", next)
			out, _ = runCLI(t, exitOK, "check", nextFile)
			require.Contains(t, out, "no faults")
			out, _ = runCLI(t, exitOK, "diff", oldFile, nextFile)
			require.Contains(t, out, "share: 2600 -> 2050")
			out, _ = runCLI(t, exitOK, "diff", "--json", nextFile, nextFile)
			require.Contains(t, out, `"changes": []`)
			key := writeFile(t, "token.key", strings.Repeat("ab", 32)+"\n")
			id := map[string]string{"trust": "kochi-b-1", "cooperative": "port-2"}[user]
			set, _ := runCLI(t, exitOK, "generate", changed, "--instance", id, "--token-key", key)
			runCLI(t, exitOK, "check", "--settings", writeFile(t, "instance.toml", set))
		})
	}
}

// Guards against an exit status that differs from the help text and against an unhelpful error message.
func TestExitStatus(t *testing.T) {
	good := func(t *testing.T) string {
		out, _ := runCLI(t, exitOK, "questionnaire", "--user", "trust")
		out, _ = runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", out))
		return out
	}
	tests := map[string]struct {
		args   func(t *testing.T) []string
		status int
		want   string
	}{
		"no command":      {func(*testing.T) []string { return nil }, exitUsage, "Please specify"},
		"unknown option":  {func(*testing.T) []string { return []string{"check", "--x"} }, exitUsage, "unknown flag"},
		"missing file":    {func(*testing.T) []string { return []string{"check", "/nowhere"} }, exitFailed, "no such file"},
		"several faults":  {func(t *testing.T) []string { return []string{"check", writeFile(t, "c.toml", "x = 1\ny = 2\n")} }, exitFailed, ":2: y = 2"},
		"invalid answers": {func(t *testing.T) []string { return []string{"generate", writeFile(t, "a.toml", "")} }, exitFailed, "the answers were refused"},
		"too large": {func(t *testing.T) []string {
			return []string{"check", writeFile(t, "c.toml", good(t)+"\n# "+strings.Repeat("x", versioner.MaxTextBytes))}
		}, exitFailed, "generate with --bare"},
		"diff of one file": {func(t *testing.T) []string { return []string{"diff", writeFile(t, "c.toml", good(t))} },
			exitUsage, "give two files"},
		"no token key": {func(t *testing.T) []string {
			out, _ := runCLI(t, exitOK, "questionnaire", "--user", "trust")
			return []string{"generate", "--instance", "kochi-a-1", writeFile(t, "a.toml", out)}
		}, exitFailed, "openssl rand"},
		"invalid publication": {func(t *testing.T) []string {
			return []string{"publish", "--log", "127.0.0.1:1", "--base", "0", writeFile(t, "c.toml", "x = 1")}
		}, exitFailed, "unknown key"},
		"unreachable instance": {func(*testing.T) []string { return []string{"status", "--instance", "127.0.0.1:1"} }, exitFailed, "could not ask"},
		"missing source":       {func(*testing.T) []string { return []string{"timeline", "/nowhere"} }, exitFailed, "/nowhere"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, errs := runCLI(t, tt.status, tt.args(t)...)
			require.Contains(t, errs, tt.want)
		})
	}
}

// Guards against a command whose help has no example or exit status, or that has no --json option.
func TestHelp(t *testing.T) {
	p := newParser(&bytes.Buffer{})
	for _, c := range p.Commands() {
		require.Regexp(t, `Examples?:\n  papayaworks `+c.Name, c.LongDescription)
		require.Contains(t, c.LongDescription, "Exit status: 0")
		if c.Name != "run" && c.Name != "forward" { // these run until a signal and write only logs
			require.NotNil(t, c.FindOptionByLongName("json"), c.Name)
		}
		_, err := p.ParseArgs([]string{c.Name, "--help"})
		require.True(t, flags.WroteHelp(err), c.Name)
	}
}

// serveAdminPages serves the admin pages of an instance.
func serveAdminPages(t *testing.T, status any, config string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(status) })
	mux.HandleFunc("/config", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"version": 7, "hash": "h", "text": config})
	})
	mux.HandleFunc("/events", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"at":{"wallMs":5,"logical":1},"instance":"b","kind":"route","request":"r"}`)
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against diff --instance ignoring the version in force or the load of the targets.
func TestDiffWithInstance(t *testing.T) {
	answers, _ := runCLI(t, exitOK, "questionnaire", "--user", "trust")
	cfg, _ := runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", answers))
	addr := serveAdminPages(t, map[string]any{"instance": "a", "targets": []any{
		map[string]any{"id": "letters-2", "load": map[string]int{"running": 3, "waiting": 1}},
		map[string]any{"id": "letters-3", "load": map[string]int{"running": 5}},
	}}, cfg)
	next := writeFile(t, "next.toml", strings.Replace(cfg, `id = "letters-2"`, `leaving = true
id = "letters-2"`, 1))
	text, err := os.ReadFile(next)
	require.NoError(t, err)
	i := strings.Index(string(text), "letters-2")
	require.NoError(t, os.WriteFile(next, []byte(string(text)[:i]+strings.Replace(string(text)[i:], "leaving = false", "", 1)), 0o600))
	out, _ := runCLI(t, exitOK, "diff", "--instance", addr, next)
	require.Contains(t, out, "targets[letters-2].leaving: false -> true")
	require.Contains(t, out, "requests in progress there: 4")
	require.Contains(t, out, "--base 7")
}

// Guards against publish not reporting that its base is not in force or that an instance lacks the new version.
func TestPublish(t *testing.T) {
	answers, _ := runCLI(t, exitOK, "questionnaire", "--user", "trust")
	cfg, _ := runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", answers))
	members := func(b int) map[string]any {
		return map[string]any{"instance": "a", "configVersion": 8, "members": []any{
			map[string]any{"id": "b", "configVersion": b, "state": "alive"},
			map[string]any{"id": "c", "configVersion": 1, "state": "dead"},
		}}
	}
	tests := map[string]struct {
		conflict bool
		addr     string
		status   int
		want     string
	}{
		"in force":              {false, serveAdminPages(t, members(8), ""), exitOK, "in force at 2: a, b"},
		"not queried":           {false, serveAdminPages(t, members(7), ""), exitNotEverywhere, "not known at b: give its address"},
		"behind":                {false, serveAdminPages(t, map[string]any{"instance": "a", "configVersion": 7}, ""), exitNotEverywhere, "not yet at a: it has version 7"},
		"unreachable":           {false, "127.0.0.1:1", exitNotEverywhere, "not known at 127.0.0.1:1"},
		"base conflict":         {true, "127.0.0.1:1", exitBaseConflict, "run diff"},
		"instance not a string": {false, serveAdminPages(t, map[string]any{"instance": 3, "configVersion": 9}, ""), exitOK, "in force at 1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			c := &publishCommand{output: output{&out}, Log: "log", Base: 7, Author: "asha", Instances: []string{tt.addr}, Wait: 1, Timeout: time.Minute}
			c.Args.File = writeFile(t, "c.toml", cfg)
			c.publish = func(_ context.Context, log string, base int64, author, text string) (int64, error) {
				require.Equal(t, []any{"log", int64(7), "asha", cfg}, []any{log, base, author, text})
				if tt.conflict {
					return 0, errBaseConflict
				}
				return 8, nil
			}
			err := c.Execute(nil)
			if tt.status == exitOK {
				require.NoError(t, err)
				require.Contains(t, out.String(), tt.want)
				return
			}
			var ee *exitError
			require.ErrorAs(t, err, &ee)
			require.Equal(t, tt.status, ee.status)
			require.Contains(t, out.String()+err.Error(), tt.want)
		})
	}
}

// Guards against status output that omits sections because another section has an unknown format.
func TestStatus(t *testing.T) {
	addr := serveAdminPages(t, map[string]any{
		"instance": map[string]any{"id": "a", "dataCentre": "port"}, "configVersion": 4, "leases": "none",
		"members": []any{map[string]any{"id": "a", "dataCentre": "port", "configVersion": 4}, map[string]any{"id": "b", "dataCentre": "medina", "configVersion": 3}},
		"targets": []any{map[string]any{"id": "t", "dataCentre": "port", "load": map[string]any{"running": 2}}},
		"limits":  []any{"x", 0.25},
	}, "")
	out, _ := runCLI(t, exitOK, "status", "--instance", addr)
	for _, want := range []string{
		"configuration version 4 in force at: a", "configuration version 3 last seen at: b", "data centre port: 1 instances, 1 targets", "leases: none", "load.running", "0.250",
	} {
		require.Contains(t, out, want)
	}
	out, _ = runCLI(t, exitOK, "status", "--json", "--instance", addr)
	require.Contains(t, out, `"configVersion": 4`)
}

// Guards against ordering events by file instead of by clock and against including events of other requests.
func TestTimeline(t *testing.T) {
	addr := serveAdminPages(t, nil, "")
	file := writeFile(t, "a.events", `{"at":{"wallMs":5,"logical":2},"instance":"a","kind":"answered","request":"r","reason":"x y"}
{"at":{"wallMs":5,"logical":0},"instance":"a","kind":"admit","request":"r"}
{"at":{"wallMs":1,"logical":0},"instance":"a","kind":"admit","request":"other"}
`)
	out, _ := runCLI(t, exitOK, "timeline", "--request", "r", file, "http://"+addr)
	require.Equal(t, `1970-01-01T00:00:00.005Z.0 a admit request=r
1970-01-01T00:00:00.005Z.1 b route request=r
1970-01-01T00:00:00.005Z.2 a answered request=r reason="x y"
`, out)
	out, _ = runCLI(t, exitOK, "timeline", "--json", "--instance", "b", file, "http://"+addr)
	require.Equal(t, 1, strings.Count(out, "\n"))
	page := filepath.Join(t.TempDir(), "page.html")
	runCLI(t, exitOK, "timeline", "--html", page, file)
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(string(text), "<circle"))
}

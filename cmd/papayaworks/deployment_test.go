package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/demonstrator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/pkg/caller"
)

// Guards against commands that work on files but not on a running deployment and against request-path decisions that are
// not recorded as an event or metric.
func TestWalkThroughOnDeployment(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dep, err := demonstrator.Start(ctx, demonstrator.Specs["cooperative"], 1, logger.Discard())
	require.NoError(t, err)
	defer dep.Close()
	addr := dep.Addresses()[0]
	answers := dep.Questionnaire()
	current, _ := runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", answers))
	out, _ := runCLI(t, exitOK, "diff", "--instance", addr, writeFile(t, "current.toml", current))
	require.Contains(t, out, "no difference")

	next, _ := runCLI(t, exitOK, "generate", writeFile(t, "answers.toml", strings.Replace(answers, "sharePercent = 26.0", "sharePercent = 20.5", 1)))
	file := writeFile(t, "next.toml", next)
	out, _ = runCLI(t, exitOK, "diff", "--instance", addr, file)
	require.Contains(t, out, "accounts[cutters].share: 2600 -> 2050")
	base := strconv.FormatInt(dep.Instances[0].Server.View().ConfigVersion, 10)
	args := []string{"publish", file, "--answers", writeFile(t, "answers.toml", answers), "--base", base, "--author", "asha", "--wait", "20s"}
	out, _ = runCLI(t, exitOK, args...)
	require.Contains(t, out, "in force at 7: medina-1")
	_, errs := runCLI(t, exitBaseConflict, args...)
	require.Contains(t, errs, "by asha")
	out, _ = runCLI(t, exitOK, "status", "--instance", addr)
	require.Contains(t, out, "drafting-12")
	for _, section := range []string{"leases (", "limits (10)", "links (15)", "load.running"} {
		require.Contains(t, out, section)
	}

	c := &caller.Client{Addresses: []string{addr}, Key: demonstrator.APIKey("cutters")}
	completion, err := c.Chat(ctx, caller.ChatRequest{Model: "drafting", MaxTokens: 4, Messages: []caller.Message{{Role: "user", Content: strings.Repeat("sleeve ", 2000)}}})
	require.NoError(t, err)
	require.NotEmpty(t, completion.Text)
	out, _ = runCLI(t, exitOK, "timeline", "--account", "cutters", "http://"+addr)
	for _, want := range []string{" route request=", " keep request=", " answered request="} {
		require.Contains(t, out, want)
	}
	res, err := http.Get("http://" + addr + "/metrics")
	require.NoError(t, err)
	defer res.Body.Close()
	page, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	for _, want := range []string{
		`papayaworks_requests_total{outcome="answered"} 1`, `papayaworks_decisions_total{step="route"`, "papayaworks_first_token_seconds_count 1",
		"papayaworks_config_version " + strconv.FormatInt(dep.Instances[0].Server.View().ConfigVersion, 10),
	} {
		require.Contains(t, string(page), want)
	}
}

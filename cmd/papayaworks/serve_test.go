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

// Guards against an operator's command that works on files but not on a running deployment, and against decisions of
// the request path that leave no event or no count.
func TestWalkThroughOnDeployment(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dep, err := demonstrator.Start(ctx, demonstrator.Specs["cooperative"], 1, logger.Discard())
	require.NoError(t, err)
	defer dep.Close()
	addr := dep.Addresses()[0]
	answers := dep.Questionnaire()
	now, _ := command(t, exitOK, "generate", write(t, "answers.toml", answers))
	out, _ := command(t, exitOK, "diff", "--instance", addr, write(t, "now.toml", now))
	require.Contains(t, out, "no difference")

	next, _ := command(t, exitOK, "generate", write(t, "answers.toml", strings.Replace(answers, "sharePercent = 26.0", "sharePercent = 20.5", 1)))
	file := write(t, "next.toml", next)
	out, _ = command(t, exitOK, "diff", "--instance", addr, file)
	require.Contains(t, out, "accounts[cutters].share: 2600 -> 2050")
	base := strconv.FormatInt(dep.Instances[0].Server.View().ConfigVersion, 10)
	args := []string{"publish", file, "--answers", write(t, "answers.toml", answers), "--base", base, "--author", "asha", "--wait", "20s"}
	out, _ = command(t, exitOK, args...)
	require.Contains(t, out, "in force at 7: medina-1")
	_, errs := command(t, exitLostRace, args...)
	require.Contains(t, errs, "by asha")
	out, _ = command(t, exitOK, "status", "--instance", addr)
	require.Contains(t, out, "drafting-12")
	for _, part := range []string{"leases (", "limits (10)", "links (15)", "load.running"} {
		require.Contains(t, out, part)
	}

	c := &caller.Client{Addresses: []string{addr}, Key: demonstrator.APIKey("cutters")}
	ans, err := c.Chat(ctx, caller.Chat{Model: "drafting", MaxTokens: 4, Messages: []caller.Message{{Role: "user", Content: strings.Repeat("sleeve ", 2000)}}})
	require.NoError(t, err)
	require.NotEmpty(t, ans.Text)
	out, _ = command(t, exitOK, "timeline", "--account", "cutters", "http://"+addr)
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

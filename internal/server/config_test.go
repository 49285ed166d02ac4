package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

const firstText = "[deployment]\nname = \"first\"\n[[dataCentres]]\nname = \"a\"\nregion = \"r\"\n"

// startInstance starts an instance that follows the configuration on a log.
func startInstance(t *testing.T, id, log string) *Server {
	cfg, err := configurer.Parse("test", strings.Replace(firstText, "first", "initial", 1))
	require.NoError(t, err)
	set := &configurer.Settings{
		Instance: configurer.Instance{ID: id, DataCentre: "a", Listen: "127.0.0.1:0"},
		Platform: configurer.Platform{Log: log},
		Keys:     configurer.Keys{Token: []string{strings.Repeat("ab", 32)}},
	}
	rec := recorder.New(recorder.NewClock(time.Now), id, 64, nil)
	s := New(set, cfg, logger.Discard(), rec, &asserter.Asserter{PanicOnViolation: true})
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, s.Start(ctx))
	t.Cleanup(func() {
		cancel()
		s.Kill()
	})
	return s
}

// fetchConfig fetches the page /config.
func fetchConfig(s *Server) (out PublishedConfig) {
	res, err := http.Get("http://" + s.Addr() + "/config")
	if err != nil {
		return out
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&out)
	return out
}

// Guards against instances that don't adopt a published configuration, that report a text other than the active one, or
// that don't use it for requests. One instance starts before the publication and one after it.
func TestPublishedConfigurationIsAdopted(t *testing.T) {
	log := &emulator.Log{}
	addr, err := log.Start()
	require.NoError(t, err)
	defer log.Kill()
	first := startInstance(t, "a-1", addr)
	before := fetchConfig(first)
	require.Zero(t, before.Version)
	require.Contains(t, before.Text, "initial")

	client := &appender.Client{Addr: addr}
	version, err := versioner.Publish(t.Context(), client, 0, "asha", firstText)
	require.NoError(t, err)
	require.EqualValues(t, 1, version)
	var conflict *versioner.BaseConflictError
	_, err = versioner.Publish(t.Context(), client, 0, "binu", firstText)
	require.True(t, errors.As(err, &conflict), "%v", err)
	require.Equal(t, "asha", conflict.Current.Author)

	want := PublishedConfig{Version: 1, Author: "asha", Hash: versioner.HashText(firstText), Text: firstText}
	for _, s := range []*Server{first, startInstance(t, "a-2", addr)} {
		require.Eventually(t, func() bool { return fetchConfig(s) == want }, time.Minute, time.Millisecond)
		require.Eventually(t, func() bool { return s.View().Config.Deployment.Name == "first" }, time.Minute, time.Millisecond)
	}
}

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/platform"
	"github.com/papayaworks/papayaworks/platform/emulator"
)

// processOutput collects the output of a process. It is safe for concurrent use.
type processOutput struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *processOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *processOutput) contains(s string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Contains(o.buf.Bytes(), []byte(s))
}

// Guards against a process that exits on SIGHUP, misses changed settings or does not exit on SIGTERM.
func TestForwardSignals(t *testing.T) {
	st := emulator.NewMetadataStore()
	st.Start(t)
	st.Put("keyed.op", "config", map[string]any{"version": 1, "limits": map[string]any{"max_body_bytes": 1000}})
	front, ready := freePort(t), freePort(t)
	file := filepath.Join(t.TempDir(), "local.toml")
	writeSettings := func(grace int) {
		text := fmt.Sprintf("node_name = \"a\"\nip = \"127.0.0.1\"\nzone = \"z\"\n[listen]\nfront = %q\nready = %q\n[bounds]\ngrace_s = %d\n[platform]\naddress = %q\n",
			front, ready, grace, st.Address)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	writeSettings(8)
	out := new(processOutput)
	cmd := exec.Command("papayaworks", "forward")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	isReady := func() bool {
		res, err := http.Get("http://" + ready + "/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	require.Eventually(t, isReady, processTimeout, 10*time.Millisecond)
	writeSettings(6)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return out.contains(`"changed":true`) }, processTimeout, 10*time.Millisecond)
	require.NoError(t, os.WriteFile(file, []byte("node_name = 7"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return out.contains("settings rejected") }, processTimeout, 10*time.Millisecond)
	require.True(t, isReady())
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
	require.True(t, out.contains(`"msg":"stopped"`))
}

func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", emulator.LoopbackIP()+":0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

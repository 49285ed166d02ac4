package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type record struct {
	start time.Time

	mu sync.Mutex
	f  *os.File
	w  *bufio.Writer
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

// lineAt writes one line with the time of an event.
func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

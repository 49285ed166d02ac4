// Package merger merges the events of several instances into one order.
//
// Each event carries a hybrid logical clock value, so that an event which
// caused another one in another process comes before it even if the machines'
// clocks differ. Events that are read twice, from a file and from an instance,
// are kept once.
//
// # Usage
//
//	events, err := merger.Read(r)
//	for _, e := range merger.Merge(merger.Filter{Request: id}, events, others) {
//		fmt.Print(merger.Line(e))
//	}
package merger

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// maxLine bounds one event.
const maxLine = 1 << 20

// Filter selects events; empty fields select all.
type Filter struct {
	Request, Account, Target, Instance string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e recorder.Event) bool {
	fits := func(want, got string) bool { return want == "" || want == got }
	return fits(f.Request, e.Request) && fits(f.Account, e.Account) && fits(f.Target, e.Target) && fits(f.Instance, e.Instance)
}

// Read reads events, one JSON object a line. A last line that is cut off, as the death of a process leaves it, is left out.
func Read(r io.Reader) ([]recorder.Event, error) {
	var out []recorder.Event
	br := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		line, err := br.ReadSlice('\n')
		whole := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(strings.TrimSpace(string(line))) > 0 {
			var e recorder.Event
			switch bad := json.Unmarshal(line, &e); {
			case bad == nil:
				out = append(out, e)
			case whole:
				return nil, fmt.Errorf("line %d: %w", n, bad)
			}
		}
		if !whole {
			return out, nil
		}
	}
}

// Merge returns the selected events of all sources in one order, each once.
func Merge(f Filter, sources ...[]recorder.Event) []recorder.Event {
	var all []recorder.Event
	for _, s := range sources {
		for _, e := range s {
			if f.Match(e) {
				all = append(all, e)
			}
		}
	}
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b recorder.Event) bool { return a == b })
}

// compare orders by the clock, then by instance; the clock of one instance never gives a value twice.
func compare(a, b recorder.Event) int {
	switch {
	case a.At.Before(b.At):
		return -1
	case b.At.Before(a.At):
		return 1
	}
	return strings.Compare(a.Instance, b.Instance)
}

// FormatLine returns an event as one line for people.
func FormatLine(e recorder.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%d %s %s", time.UnixMilli(e.At.WallMs).UTC().Format("2006-01-02T15:04:05.000Z"), e.At.Logical, e.Instance, e.Kind)
	for _, p := range [][2]string{
		{"request", e.Request}, {"account", e.Account}, {"target", e.Target}, {"peer", e.Peer}, {"step", e.Step},
	} {
		if p[1] != "" {
			fmt.Fprintf(&b, " %s=%s", p[0], p[1])
		}
	}
	if e.Version != 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	if e.Reason != "" {
		fmt.Fprintf(&b, " reason=%q", e.Reason)
	}
	b.WriteByte('\n')
	return b.String()
}

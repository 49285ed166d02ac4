// Package merger merges the recorded events of several instances into one causally consistent sequence.
//
// Events are ordered by their hybrid logical clock values, so that an event
// that caused another one in another process precedes it even if the clocks of
// the machines differ. Duplicates, such as an event that was read both from a
// file and from an instance, are removed. The result can be printed line by
// line or drawn as an HTML page.
//
// # Usage
//
//	events, err := merger.Read(r)
//	for _, e := range merger.Merge(merger.Filter{Request: id}, events, others) {
//		fmt.Print(merger.FormatLine(e))
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

// maxLineBytes bounds the length of one encoded event.
const maxLineBytes = 1 << 20

// Filter selects events by the values of their fields; an empty field matches any value.
type Filter struct {
	Request, Account, Target, Instance string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e recorder.Event) bool {
	matches := func(want, got string) bool { return want == "" || want == got }
	return matches(f.Request, e.Request) && matches(f.Account, e.Account) && matches(f.Target, e.Target) && matches(f.Instance, e.Instance)
}

// Read reads events, one JSON object per line. It ignores a truncated last line, which a killed process may leave behind; any
// other invalid line is an error.
func Read(r io.Reader) ([]recorder.Event, error) {
	var out []recorder.Event
	br := bufio.NewReaderSize(r, maxLineBytes)
	for n := 1; ; n++ {
		line, err := br.ReadSlice('\n')
		complete := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("read event at line %d: %w", n, err)
		}
		if len(strings.TrimSpace(string(line))) > 0 {
			var e recorder.Event
			switch decodeErr := json.Unmarshal(line, &e); {
			case decodeErr == nil:
				out = append(out, e)
			case complete:
				return nil, fmt.Errorf("decode event at line %d: %w", n, decodeErr)
			}
		}
		if !complete {
			return out, nil
		}
	}
}

// Merge returns the selected events of all sources in clock order, without duplicates.
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

// compare orders events by clock value, then by instance. This order is total, since the clock values of one instance are
// unique.
func compare(a, b recorder.Event) int {
	switch {
	case a.At.Before(b.At):
		return -1
	case b.At.Before(a.At):
		return 1
	}
	return strings.Compare(a.Instance, b.Instance)
}

// FormatLine returns an event as one line of text with a final newline.
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

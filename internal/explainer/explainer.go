// Package explainer extracts the trace of one request from the logs of any
// number of instances.
//
// It selects the JSON lines with the request's ID and adds the lines without a
// request ID that an instance which handled the request wrote shortly before,
// such as a store that became unreachable, a new configuration or a removed
// target.
//
// # Usage
//
//	trace, err := explainer.Explain("9c41d07be2a35f68", readers...)
//	trace.WriteTo(os.Stdout)
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// contextWindow is how long before a line of the request other lines of the same instance are included.
	contextWindow = 6 * time.Second
	// maxLineBytes is the maximum length of a log line; Explain fails on a longer one.
	maxLineBytes = 1 << 20
)

// omittedKeys are the keys that are printed at the start of a line or not at all.
var omittedKeys = []string{"time", "level", "msg", "instance", "request"}

// Line is one log line. Its JSON encoding uses the Go field names.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Request  string
	Fields   map[string]any
}

// String returns the line as text: time, instance, message and the other fields sorted by key.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %s", l.At.Format("15:04:05.000000"), l.Instance, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if slices.Contains(omittedKeys, k) {
			continue
		}
		v, err := json.Marshal(l.Fields[k])
		if err != nil {
			v = []byte(err.Error())
		}
		fmt.Fprintf(&b, " %s=%s", k, v)
	}
	return b.String()
}

// Trace contains the log lines about one request, ordered by time.
type Trace struct {
	Request string
	Lines   []Line
	// Skipped counts lines that are not JSON log lines, such as the output of other programs.
	Skipped int
}

// Explain reads the logs to their end and returns the trace of the request with the given ID. It fails if a log cannot be
// read or no line has the ID.
func Explain(id string, logs ...io.Reader) (*Trace, error) {
	t := &Trace{Request: id}
	var requestLines, otherLines []Line
	for _, r := range logs {
		sc := bufio.NewScanner(r)
		sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for sc.Scan() {
			l, ok := parseLine(sc.Bytes())
			switch {
			case !ok:
				t.Skipped++
			case l.Request == id:
				requestLines = append(requestLines, l)
			case l.Request == "":
				otherLines = append(otherLines, l)
			}
		}
		if err := sc.Err(); err != nil {
			return nil, failer.Wrap(err, "read", "log", "explain")
		}
	}
	if len(requestLines) == 0 {
		return nil, failer.New("no log line of request %q (%d lines skipped)", id, t.Skipped)
	}
	slices.SortStableFunc(requestLines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range otherLines {
		if isRelated(l, requestLines) {
			t.Lines = append(t.Lines, l)
		}
	}
	t.Lines = append(t.Lines, requestLines...)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return t, nil
}

// isRelated reports whether the instance that wrote l wrote a line of the request at most contextWindow later.
func isRelated(l Line, requestLines []Line) bool {
	for _, r := range requestLines {
		if r.Instance == l.Instance && !l.At.After(r.At) && r.At.Sub(l.At) <= contextWindow {
			return true
		}
	}
	return false
}

// parseLine decodes a log line and reports whether it is one. Text before the first brace, such as the time stamp of a log
// collector, is ignored.
func parseLine(text []byte) (Line, bool) {
	i := strings.IndexByte(string(text), '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]any{}}
	if json.Unmarshal(text[i:], &l.Fields) != nil {
		return Line{}, false
	}
	stringOf := func(key string) string { s, _ := l.Fields[key].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, stringOf("time"))
	if err != nil {
		return Line{}, false
	}
	l.At, l.Instance, l.Message, l.Request = at, stringOf("instance"), stringOf("msg"), stringOf("request")
	return l, true
}

// WriteTo implements io.WriterTo. It writes the trace as text and marks the lines of the request with a star.
func (t *Trace) WriteTo(w io.Writer) (int64, error) {
	var n int64
	for _, l := range t.Lines {
		prefix := "  "
		if l.Request != "" {
			prefix = "* "
		}
		m, err := fmt.Fprintln(w, prefix+l.String())
		n += int64(m)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

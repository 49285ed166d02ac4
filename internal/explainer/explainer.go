// Package explainer finds in log lines what happened to one request.
//
// It reads the JSON lines of any number of instances, takes those that name the
// request, and adds what each instance wrote about its dependencies in the time
// before: a lost store, a configuration, a target that left.
//
// # Usage
//
//	story, err := explainer.Explain("9c41d07be2a35f68", readers...)
//	story.WriteTo(os.Stdout)
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
	// contextWindow is how long before the request's first line an instance's own changes may matter.
	contextWindow = 6 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// omittedKeys are the keys that stand at the beginning of a printed line or say nothing about the request.
var omittedKeys = []string{"time", "level", "msg", "instance", "request"}

// Line is one log line.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	Request  string
	Fields   map[string]any
}

// String returns the line for people.
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

// Trace is what the logs tell about one request, in order.
type Trace struct {
	Request string
	Lines   []Line
	// Skipped counts lines that are not JSON, such as those of other programs.
	Skipped int
}

// Explain reads log lines and returns those that matter to a request.
func Explain(id string, logs ...io.Reader) (*Trace, error) {
	s := &Trace{Request: id}
	var own, around []Line
	for _, r := range logs {
		sc := bufio.NewScanner(r)
		sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for sc.Scan() {
			l, ok := parseLine(sc.Bytes())
			switch {
			case !ok:
				s.Skipped++
			case l.Request == id:
				own = append(own, l)
			case l.Request == "":
				around = append(around, l)
			}
		}
		if err := sc.Err(); err != nil {
			return nil, failer.Wrap(err, "read", "log", "explain")
		}
	}
	if len(own) == 0 {
		return nil, failer.New("no line names request %q (%d lines were skipped)", id, s.Skipped)
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range around {
		if isRelated(l, own) {
			s.Lines = append(s.Lines, l)
		}
	}
	s.Lines = append(s.Lines, own...)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return s, nil
}

// isRelated reports whether an instance that handled the request wrote the line shortly before its end.
func isRelated(l Line, own []Line) bool {
	for _, o := range own {
		if o.Instance == l.Instance && !l.At.After(o.At) && o.At.Sub(l.At) <= contextWindow {
			return true
		}
	}
	return false
}

// parseLine decodes a line; what stands before its first brace, such as a collector's own time, is passed over.
func parseLine(text []byte) (Line, bool) {
	i := strings.IndexByte(string(text), '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Fields: map[string]any{}}
	if json.Unmarshal(text[i:], &l.Fields) != nil {
		return Line{}, false
	}
	word := func(key string) string { s, _ := l.Fields[key].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, word("time"))
	if err != nil {
		return Line{}, false
	}
	l.At, l.Instance, l.Message, l.Request = at, word("instance"), word("msg"), word("request")
	return l, true
}

// WriteTo writes the story for people.
func (s *Trace) WriteTo(w io.Writer) (int64, error) {
	var n int64
	for _, l := range s.Lines {
		mark := "  "
		if l.Request != "" {
			mark = "* "
		}
		m, err := fmt.Fprintln(w, mark+l.String())
		n += int64(m)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

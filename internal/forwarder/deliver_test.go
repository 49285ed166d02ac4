package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against forwarding an incomplete event: a stream that is interrupted after it could not be resumed.
func TestEvents(t *testing.T) {
	tests := map[string]struct {
		in   string
		end  int
		last string
	}{
		"nothing":                 {"", 0, ""},
		"incomplete":              {"id: 1\ndata", 0, "1"},
		"complete":                {"id: 1\ndata: a\n\n", 15, "1"},
		"complete and incomplete": {"id: 1\ndata: a\n\nid: 2\nda", 15, "2"},
		"two":                     {"id: 1\n\nid: 2\n\n", 14, "2"},
		"carriage returns":        {"id: 7\r\ndata: a\r\n\r\nid: 8", 18, "8"},
		"mixed line ends":         {"id: 7\ndata: a\n\r\nid: 8", 16, "8"},
		"half a blank line":       {"id: 7\r\ndata: a\r\n\r", 0, "7"},
		"blank lines":             {"\n\n\r\n\n", 0, ""},
		"more blank lines":        {"id: 1\n\n\n\r\n\n", 7, "1"},
		"more blank CRLF lines":   {"id: 1\r\n\r\n\r\n\r\nid", 9, "1"},
		"blank line and event":    {"\n\nid: 1\n\nid", 9, "1"},
		"no id":                   {"data: a\n\n", 9, ""},
		"id in data":              {"data: id: 9\n\n", 13, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.end, completeEventsLen([]byte(tc.in)))
			require.Equal(t, tc.last, lastEventID([]byte(tc.in)))
		})
	}
}

// Guards against an incomplete event, or an incomplete line, that is taken for a comment at the end of a whole stream.
func TestIsComment(t *testing.T) {
	tests := map[string]struct {
		in   string
		want bool
	}{
		"comments and blank lines": {": a\r\n\n:b\n\r\n:\n", true},
		"incomplete comment":       {": a\n: b", false},
		"incomplete blank line":    {": a\n\r", false},
		"field":                    {": a\nid: 1\n", false},
		"field before":             {"data: a\n: b\n", false},
		"colon in a field":         {"data: :\n", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, isComment([]byte(tc.in))) })
	}
}

// Guards against stored KV cache that is freed while a target may still be fetching it.
func TestIsFullySuperseded(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		history []oldestVersion
		version int64
		want    bool
	}{
		"no history":            {nil, 1, false},
		"superseded recently":   {[]oldestVersion{{2, ago(freeDelay)}}, 1, false},
		"superseded long ago":   {[]oldestVersion{{2, ago(2 * freeDelay)}}, 1, true},
		"in use":                {[]oldestVersion{{2, ago(2 * freeDelay)}}, 2, false},
		"in use until recently": {[]oldestVersion{{1, ago(2 * freeDelay)}, {2, ago(time.Second)}}, 1, false},
		"in use again":          {[]oldestVersion{{2, ago(2 * freeDelay)}, {1, ago(time.Second)}}, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, isFullySuperseded(tc.history, tc.version, now)) })
	}
}

package framer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testHead = "POST /a HTTP/1.1\r\nHost: h\r\n"

// Guards against a part of a request that is passed on beyond its limit, and against a request within the limits that is refused, however
// its bytes are divided.
func TestFeed(t *testing.T) {
	chunked := testHead + "Transfer-Encoding: chunked\r\n"
	long := strings.Repeat("a", 4096)
	tests := map[string]struct {
		in            string
		wantCompleted int
		wantStatus    int
	}{
		"no body":                         {testHead + "\r\n", 1, 0},
		"body":                            {testHead + "Content-Length: 5\r\n\r\nhello", 1, 0},
		"longest body":                    {testHead + "Content-Length: 100\r\n\r\n" + long[:100], 1, 0},
		"two requests":                    {testHead + "Content-Length: 5\r\n\r\nhello" + testHead + "\r\n", 2, 0},
		"chunks":                          {chunked + "\r\n5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n", 1, 0},
		"trailers":                        {chunked + "Trailer: X\r\n\r\n0\r\nX: a\nb\r\n\r\n", 1, 0},
		"empty lines before":              {"\r\n\r\n" + testHead + "\r\n", 1, 0},
		"value with a bare LF":            {testHead + "X: a\n\nContent-Length: 4000\r\n\r\n", 1, 0},
		"endless empty lines":             {strings.Repeat("\r\n", 100), 0, http.StatusBadRequest},
		"announced body too long":         {testHead + "Content-Length: 101\r\n\r\n", 0, http.StatusRequestEntityTooLarge},
		"length that is no 64-bit number": {testHead + "Content-Length: 99999999999999999999999\r\n\r\n", 0, http.StatusRequestEntityTooLarge},
		"chunk too long":                  {chunked + "\r\n65\r\n", 0, http.StatusRequestEntityTooLarge},
		"chunk size without end":          {chunked + "\r\n" + strings.Repeat("f", 40) + "\r\n", 0, http.StatusRequestEntityTooLarge},
		"chunks too long":                 {chunked + "\r\n5\r\nhello\r\n60\r\n", 0, http.StatusRequestEntityTooLarge},
		"chunk extension":                 {chunked + "\r\n5;" + long, 0, http.StatusBadRequest},
		"chunk extension with bare LF":    {chunked + "\r\n5;\n" + long, 0, http.StatusBadRequest},
		"head line":                       {testHead + "X: " + long, 0, http.StatusRequestHeaderFieldsTooLarge},
		"head lines":                      {testHead + strings.Repeat("X: a\r\n", 1000), 0, http.StatusRequestHeaderFieldsTooLarge},
		"request line":                    {"POST /" + long, 0, http.StatusRequestHeaderFieldsTooLarge},
		"trailer lines":                   {chunked + "\r\n0\r\n" + strings.Repeat("X: a\r\n", 1000), 0, http.StatusRequestHeaderFieldsTooLarge},
		"trailer with bare LF":            {chunked + "\r\n0\r\nX: a" + strings.Repeat("\n", 2000), 0, http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, tc := range tests {
		for _, size := range []int{1, 2, 7, len(tc.in)} {
			t.Run(fmt.Sprintf("%s by %d", name, size), func(t *testing.T) {
				f := Framer{Limits: Limits{HeadBytes: 512, BodyBytes: 100}}
				completed, passed := 0, 0
				var err error
				for rest := tc.in; rest != "" && err == nil; {
					part := rest[:min(size, len(rest))]
					rest = rest[len(part):]
					var n int
					n, err = f.Feed([]byte(part))
					passed += n
					completed += f.Completed()
				}
				require.Equal(t, tc.wantCompleted, completed)
				if tc.wantStatus == 0 {
					require.NoError(t, err)
					require.Equal(t, len(tc.in), passed)
					require.False(t, f.InRequest())
					require.Zero(t, f.Size())
					return
				}
				var v *Violation
				require.True(t, errors.As(err, &v))
				require.Equal(t, tc.wantStatus, v.Status)
				require.LessOrEqual(t, passed, 2048)
				n, err := f.Feed([]byte("more"))
				require.Zero(t, n)
				require.Error(t, err, "a connection with a violation goes on")
			})
		}
	}
}

// Guards against a framer that finds the end of a request elsewhere than an HTTP parser does.
func TestRandomFramingMatchesParser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in strings.Builder
		n := rapid.IntRange(1, 4).Draw(t, "requests")
		for range n {
			body := rapid.StringMatching(`[ -~\r\n]{0,60}`).Draw(t, "body")
			in.WriteString(testHead)
			if rapid.Bool().Draw(t, "chunked") {
				in.WriteString("transfer-encoding: chunked\r\n\r\n")
				for body != "" {
					k := rapid.IntRange(1, len(body)).Draw(t, "chunk")
					fmt.Fprintf(&in, "%x;ext\r\n%s\r\n", k, body[:k])
					body = body[k:]
				}
				in.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X: y\r\n"}).Draw(t, "trailer") + "\r\n")
			} else {
				fmt.Fprintf(&in, "content-length:  %d \r\n\r\n%s", len(body), body)
			}
		}
		f := Framer{}
		completed := 0
		for rest := in.String(); rest != ""; {
			k := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got, err := f.Feed([]byte(rest[:k]))
			require.NoError(t, err)
			require.Equal(t, k, got)
			completed += f.Completed()
			rest = rest[k:]
		}
		require.Equal(t, n, completed)
		require.False(t, f.InRequest())
		r := bufio.NewReader(strings.NewReader(in.String()))
		for range n {
			req, err := http.ReadRequest(r)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, req.Body)
			require.NoError(t, err)
		}
	})
}

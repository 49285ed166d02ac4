package inspector

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/papayaworks/papayaworks/internal/seeder" // fixed seed
)

// Guards against a head that is accepted and that net/http reads in another way: with another end, an invalid name, a folded value
// or without its encoding.
func TestRandomHeadsMatchParser(t *testing.T) {
	lines := []string{"Server: s", "Server: s", "Content-Length:2", "Content-Length:2", "Age:", "transfer-encoding: chunked", " ", "\t", "\r", "X Y: 1", "X : 1", " X: 1", "X\x00: 1", ": 1", "X", "X: a\rb"}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.1   103 Early Hints", "HTTP/1.0 404", "HTTP/1.0 200 OK"}).Draw(t, "status") + "\r\n"
		for _, line := range rapid.SliceOfN(rapid.SampledFrom(lines), 0, 3).Draw(t, "lines") {
			text += line + rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		}
		text += "\r\nbody"
		var h Head
		length := 0
		for length < len(text) && !h.Ended() {
			n, err := h.Feed([]byte(text[length:][:rapid.IntRange(1, len(text)-length).Draw(t, "part")]))
			if length += n; err != nil {
				return
			}
		}
		require.True(t, h.Ended())
		r := bufio.NewReader(strings.NewReader(text))
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return // such as an invalid field value
		}
		defer res.Body.Close()
		require.Equal(t, len(text)-length, r.Buffered(), "the head ends elsewhere")
		require.Equal(t, res.StatusCode < http.StatusOK, h.Interim())
		require.Equal(t, strings.Contains(text[:length], "chunked"), len(res.TransferEncoding) > 0, "the encoding is ignored")
		for name := range res.Header {
			require.Contains(t, []string{"Server: s", "Content-Length: 2", "Age: "}, name+": "+res.Header.Get(name))
		}
	})
}

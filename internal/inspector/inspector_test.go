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

// Guards against a head that is accepted and that net/http reads in another way: with another end, an invalid name or a folded value.
func TestRandomHeadsMatchParser(t *testing.T) {
	lines := []string{"Server: s", "Server: s", "Content-Length:2", "Content-Length:2", "Age:", " ", "\t", "\r", "X Y: 1", "X : 1", " X: 1", "X\x00: 1", ": 1", "X", "X: a\rb"}
	rapid.Check(t, func(t *rapid.T) {
		text := "HTTP/1.1 " + rapid.SampledFrom([]string{"200 OK", "  103 Early Hints", "404"}).Draw(t, "status") + "\r\n"
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
		for name := range res.Header {
			require.Contains(t, []string{"Server: s", "Content-Length: 2", "Age: "}, name+": "+res.Header.Get(name))
		}
	})
}

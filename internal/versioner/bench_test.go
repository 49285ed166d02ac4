package versioner

import (
	"fmt"
	"strings"
	"testing"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/view"
)

// largeConfigText returns a configuration with many accounts and targets.
func largeConfigText(accounts, targets int) string {
	var b strings.Builder
	b.WriteString(configText("bench", 1))
	b.WriteString("[[models]]\nname = \"letters\"\n")
	for i := range targets {
		fmt.Fprintf(&b, "[[stores]]\nid = \"store-%d\"\naddress = \"127.0.0.1:%d\"\ndataCentre = \"a\"\n", i, 10000+i)
		fmt.Fprintf(&b, "[[targets]]\nid = \"letters-%d\"\naddress = \"127.0.0.1:%d\"\ndataCentre = \"a\"\nkind = \"engine\"\n"+
			"models = [\"letters\"]\nstore = \"store-%d\"\n", i, 20000+i, i)
	}
	for i := range accounts {
		fmt.Fprintf(&b, "[[accounts]]\nname = \"account-%d\"\nkeySHA256 = %q\n", i, HashText(fmt.Sprint(i)))
	}
	return b.String()
}

// BenchmarkAdopt measures decoding, hashing, parsing and validating a published version and building the view from it.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range [][2]int{{10, 15}, {120, 150}, {1200, 830}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", n[0], n[1]), func(b *testing.B) {
			txt := largeConfigText(n[0], n[1])
			r := &Record{Version: 1, Author: "o", ID: "1", Hash: HashText(txt), Text: txt}
			data := r.Encode()
			b.ReportAllocs()
			for b.Loop() {
				s := new(State)
				s.Apply(appender.Batch{Records: []appender.Record{{Data: data}}})
				if s.Current().Version() != 1 {
					b.Fatal("not accepted")
				}
				view.New(s.Current().Config, 1, "a")
			}
			b.ReportMetric(float64(len(data)), "recordBytes")
		})
	}
}

package dialer

import (
	"bytes"
	"testing"
)

// Guards against panics, events without content and events after the end event, for any bytes from an engine.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("event: start\ndata: {\"run\":\"r\"}\n\nevent: piece\ndata: {\"offset\":0,\"text\":\"a\"}\n\nevent: end\ndata: {\"offset\":1}\n\n"))
	f.Add([]byte("event: piece\ndata: null\n\n"))
	f.Add([]byte("data: {}\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ended := false
		err := ReadEvents(bytes.NewReader(data), func(ev Event) bool {
			n := 0
			for _, set := range []bool{ev.Start != nil, ev.Chunk != nil, ev.End != nil} {
				if set {
					n++
				}
			}
			if n != 1 || ended {
				t.Fatalf("invalid event %+v; after the end event: %t", ev, ended)
			}
			ended = ev.End != nil
			return true
		})
		if ended != (err == nil) {
			t.Fatalf("ended %t with error %v", ended, err)
		}
	})
}

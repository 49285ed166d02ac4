// Package dialer talks to targets and stores: it holds their protocol and the clients.
//
// Engines and stores speak HTTP with JSON bodies; an engine's run is a stream of
// server-sent events. The client is net/http and not nbhttp, because nbhttp's
// client calls its handler only after the whole body of a response has arrived
// and so cannot deliver a stream.
//
// # Usage
//
//	c := dialer.New()
//	s, err := c.Run(ctx, "127.0.0.1:8001", &dialer.RunRequest{...}, 0)
//	for ev, err := range s.Events() { ... }
package dialer

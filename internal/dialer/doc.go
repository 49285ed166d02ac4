// Package dialer is the client for engines and KV stores and defines their protocol.
//
// Engines and stores use HTTP with JSON bodies. An engine returns a run as a
// stream of server-sent events. The client uses net/http instead of nbhttp
// because the nbhttp client calls its handler only after the complete response
// body has arrived, so it cannot deliver a stream.
//
// # Usage
//
//	c := dialer.New()
//	s, err := c.Run(ctx, "127.0.0.1:8001", &dialer.RunRequest{...}, 0)
//	for ev, err := range s.Events() { ... }
package dialer

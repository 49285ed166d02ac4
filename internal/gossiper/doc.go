// Package gossiper keeps the membership of the instances and spreads what they observe.
//
// It has two halves. [Protocol] is pure state: it takes received messages and
// the time, and returns packets to send and events; it opens no socket and
// reads no clock. [Gossiper] runs one Protocol over QUIC connections with
// mutual TLS.
//
// Members form a ring ordered by a hash of their id. Each talks to its
// successors at distances 1, 2, 4, ... in the ring of all members and in the
// ring of its data centre (its fingers). Once per period it sends three
// messages: one to its successor, which watches it, one to the next finger of
// the whole ring and one to the next finger of its data centre. A message
// carries the sender's own record and as many pending changes as fit into
// 1,200 bytes; a member sends a change at most 3 log2 N times.
//
// A suspicion, a refutation, a leaving target and a new configuration version
// are urgent: they start extra rounds to the fingers at intervals of a quarter
// period until every finger has had one, so that 420 members know within 3 s.
//
// Which members have the newest configuration version is told as one bit a
// member, as long as it is new or incomplete. An instance that knows more than
// the sender of such bits answers.
//
// Usage payloads and load reports are passed on along the ring: each receiver
// has a part of it and divides the rest among its fingers, so that every member
// gets each of them once, under a budget of bytes for each kind. Load reports and one of the
// two payloads of an instance stay in its data centre, except in a deployment
// of at most 24 instances.
//
// A change of a member's status is ordered by (incarnation, state). Only the
// member itself raises its incarnation: when it hears that it is suspected or
// dead, and when it notices that it was paused.
//
// # Usage
//
//	g := &gossiper.Gossiper{
//		Self: gossiper.Identity{ID: "kochi-a-1", DataCentre: "kochi-a"}, Listen: "10.0.0.1:7000",
//		Seeds: []string{"10.0.0.2:7000"}, Credentials: creds, Log: log, Recorder: rec,
//	}
//	addr, err := g.Start(ctx)
//	g.Mark("letters-1", true, time.Now().Add(time.Minute))
//	g.Leave(ctx)
package gossiper

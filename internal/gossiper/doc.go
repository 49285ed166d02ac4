// Package gossiper maintains the membership of the instances and disseminates their observations by gossip.
//
// It has two layers. [Protocol] is a deterministic state machine: it accepts
// received messages and the time, and returns packets to send and events. It
// opens no socket and reads no clock. [Gossiper] runs one Protocol over QUIC
// connections with mutual TLS.
//
// Members form a ring ordered by a hash of their id. The fingers of a member are
// its successors at distances 1, 2, 4, ... in the ring of all members and in the
// ring of its data centre. Once per period a member sends three messages: one to
// its successor, which watches it, one to the next finger in the ring of all
// members and one to the next finger in its data centre. A message carries the
// sender's own record and as many pending changes as fit into 1,200 bytes. A
// member sends a change at most 3 log2 N times.
//
// A suspicion, a refutation, a leaving target and a new configuration version
// are urgent: they trigger extra rounds to the fingers at intervals of a quarter
// period until every finger has been sent a message, so that 420 members receive
// them within 3 s.
//
// Members also send a [ConfigCoverage], a bitmap of the live members that have the
// newest configuration version, while it is new or incomplete. A receiver that has
// newer information than the sender replies with its own coverage.
//
// Usage payloads and load reports are forwarded along the ring. Each receiver is
// responsible for a range of the ring and divides the rest of it among its
// fingers, so that every member receives each item once, within a byte budget
// for each kind. Load reports and one of the two payloads of an instance stay in
// its data centre, except in a deployment of at most 24 instances.
//
// Claims about the state of a member are ordered by (incarnation, state). Only
// the member itself raises its incarnation: when it receives a claim that it is
// suspected or dead, and when it detects that its process was paused.
//
// # Usage
//
//	g := &gossiper.Gossiper{
//		Self: gossiper.Identity{ID: "kochi-a-1", DataCentre: "kochi-a"}, Listen: "10.0.0.1:7000",
//		Seeds: []string{"10.0.0.2:7000"}, Credentials: creds, Log: log, Recorder: rec,
//	}
//	addr, err := g.Start(ctx)
//	g.SetTargetLeaving("letters-1", true, time.Now().Add(time.Minute))
//	g.Leave(ctx)
package gossiper

package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// messages returns valid messages of each kind.
func messages() [][]byte {
	c := newCluster(1)
	for i := range 3 {
		c.start(i)
	}
	c.join()
	p := c.order[0].p
	p.SetTargetLeaving("letters-1", true, c.now.Add(time.Minute), c.now)
	p.SetConfig(3)
	_ = p.BroadcastLoad("letters-2", []byte("load"), c.now)
	out := [][]byte{p.fullState(kindSync), p.fullState(kindSyncReply)}
	for _, packet := range p.Tick(c.now.Add(2 * time.Second)) {
		out = append(out, packet.Data)
	}
	return out
}

// Guards against a peer message that crashes the receiver, changes the receiver's own record or makes it send an unbounded
// number of packets.
func FuzzGossipMessage(f *testing.F) {
	for _, m := range messages() {
		f.Add(m)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newCluster(1)
		n := c.start(0)
		c.start(1)
		c.join()
		before := n.p.Self()
		out, err := n.p.Receive(data, c.now)
		if err != nil {
			require.Empty(t, out)
		}
		require.LessOrEqual(t, len(out), 2+fanout)
		after := n.p.Self()
		require.GreaterOrEqual(t, after.Incarnation, before.Incarnation)
		after.Incarnation = before.Incarnation
		require.Equal(t, before, after)
		c.run(10 * time.Second)
		require.Empty(t, n.p.Events().Errors)
	})
}

// Guards against accepting invalid messages from a peer.
func TestDecodeRefusesInvalidMessages(t *testing.T) {
	ok := Record{ID: "a", Address: "10.0.0.1:7000"}
	tests := map[string]any{
		"no msgpack":      "text",
		"unknown kind":    &Message{Kind: kinds, From: ok},
		"no sender":       &Message{},
		"no address":      &Message{From: Record{ID: "a", Address: "somewhere"}},
		"unknown state":   &Message{From: ok, Changes: []Change{{Member: &Record{ID: "a", Address: ok.Address, State: 9}}}},
		"unknown item":    &Message{From: ok, Changes: []Change{{Item: &Item{Kind: itemKinds, Key: "t"}}}},
		"long body":       &Message{From: ok, Changes: []Change{{Item: &Item{Key: "t", Body: make([]byte, MaxPayloadBytes+1)}}}},
		"long for gossip": &Message{From: ok, Changes: make([]Change, MaxMessageBytes)},
		"too few fields":  []int{0},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(encode(m))
			require.Error(t, err)
		})
	}
	_, err := Decode(encode(&Message{From: ok}))
	require.NoError(t, err)
}

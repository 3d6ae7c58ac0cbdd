package swim

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestOtherVersions: fields that a later version adds are passed over, what is out of bounds is refused.
func TestOtherVersions(t *testing.T) {
	b, err := cbor.Marshal(map[int]any{1: Gossip, 3: []any{"gw", 7}, 5: []any{"me", 1}, 99: "new", 9: []any{map[int]any{1: "x", 2: 3, 4: 1, 77: []int{1}}}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(b)
	if err != nil || m.From.Epoch != 7 || len(m.Claims) != 1 || m.Claims[0].Epoch != 3 {
		t.Errorf("read as %+v, %v", m, err)
	}
	for name, m := range map[string]Message{
		"no sender": {Kind: Ping}, "a long name": {Kind: Ping, From: ID{Name: string(make([]byte, MaxNameBytes+1))}},
		"a long meta": {Kind: Gossip, From: ID{Name: "a"}, Claims: []Claim{{Name: "x", State: Alive, Meta: make([]byte, MaxMetaBytes+1)}}},
	} {
		if _, err := Decode(Encode(&m)); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

// FuzzMessages: nothing that is read makes a node panic, grow beyond its table, or answer with more than a few messages.
func FuzzMessages(f *testing.F) {
	f.Add(Encode(&Message{Kind: Sync, Seq: 1, From: ID{Name: "a", Epoch: 2}, Addr: "b:1", Claims: []Claim{{Name: "me", Epoch: 9, State: Failed}}}))
	f.Add(Encode(&Message{Kind: PingRequest, Seq: 1, From: ID{Name: "a", Epoch: 2}, Target: ID{Name: "c"}, TargetAddr: "d:1"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		n := New(Config{Name: "me", Epoch: 5, Addr: "me:1", Seed: 1})
		m, err := Decode(b)
		if err != nil {
			return
		}
		for i := range 3 {
			if out := n.Step(time.Duration(i)*100*time.Millisecond, []Event{{Message: m}}, nil); len(out) > 32+len(m.Claims) {
				t.Errorf("%d actions", len(out))
			}
		}
		if n.Len() > len(m.Claims)+1 {
			t.Errorf("%d peers of %d claims", n.Len(), len(m.Claims))
		}
	})
}

// TestTableIsBounded: of more peers than fit, those that left longest ago go first, and the live ones stay.
func TestTableIsBounded(t *testing.T) {
	n := New(Config{Name: "me", Epoch: 5, Addr: "me:1", Seed: 1})
	name := func(i int) string { return "p" + string(rune('0'+i%10)) + string(rune(0x4e00+i)) }
	for i := range 2 * MaxPeers {
		s := Alive
		if i%2 == 0 {
			s = Left
		}
		n.Step(time.Duration(i)*time.Millisecond, []Event{{Message: &Message{Kind: Gossip, From: ID{Name: "a", Epoch: 1}, Claims: []Claim{{Name: name(i), Epoch: 1, State: s, Addr: "x:1"}}}}}, nil)
	}
	if n.Len() > MaxPeers {
		t.Errorf("%d peers kept", n.Len())
	}
	for i := 1; i < MaxPeers; i += 2 {
		if p, ok := n.Peer(name(i)); !ok || p.State == Left {
			t.Fatalf("a live peer was forgotten for one that left")
		}
	}
}

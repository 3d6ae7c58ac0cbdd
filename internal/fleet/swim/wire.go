package swim

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds. Numbers are on the wire: they are never used anew.
const (
	Ping        Kind = 1 // asks for an Ack
	Ack         Kind = 2
	PingRequest Kind = 3 // asks to ping Target and to pass on its Ack
	Gossip      Kind = 4 // claims only
	Sync        Kind = 5 // all claims, wants all claims; by stream
	SyncReply   Kind = 6
	Hello       Kind = 7 // to an address whose owner is not known, or from one that may not be a peer: carries no claims
	Welcome     Kind = 8 // answers a Hello
)

// State is what is claimed of a peer.
type State uint8

// The states, in the order in which they override each other within an epoch and incarnation.
const (
	Alive   State = 1
	Suspect State = 2
	Failed  State = 3
	Left    State = 4 // it said so itself
)

var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left"}

// String is the state's name in tables and JSON.
func (s State) String() string {
	if n, ok := stateNames[s]; ok {
		return n
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// ID is one start of one peer.
type ID struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint64
}

// Claim is what one says of a peer. Only the peer itself raises Inc.
type Claim struct {
	Name        string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
	Incarnation uint32 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint"`
	Addr        string `cbor:"5,keyasint,omitempty"`
	Meta        []byte `cbor:"6,keyasint,omitempty"`
	AgeSeconds  uint32 `cbor:"7,keyasint,omitempty"` // seconds since the sender holds it so, for Failed and Left
	SuspectedBy string `cbor:"8,keyasint,omitempty"` // Suspect: the zone of who suspects
}

// Message is what peers send each other. Fields that a receiver does not know are passed over, kinds it does not
// know are dropped.
type Message struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Seq        uint32  `cbor:"2,keyasint,omitempty"`
	From       ID      `cbor:"3,keyasint"`
	Addr       string  `cbor:"4,keyasint,omitempty"` // where From is reached
	To         ID      `cbor:"5,keyasint"`           // empty: whoever is there
	Target     ID      `cbor:"6,keyasint,omitzero"`
	TargetAddr string  `cbor:"7,keyasint,omitempty"`
	Digest     uint64  `cbor:"8,keyasint,omitempty"` // of all that From takes for true, 0 = not told
	Claims     []Claim `cbor:"9,keyasint,omitempty"`
}

// Bounds of what is taken from the wire.
const (
	MaxNameBytes = 64
	MaxAddrBytes = 80
	MaxMetaBytes = 256
	// MaxDatagramBytes is the longest datagram's message, before it is sealed.
	MaxDatagramBytes = 1200
	// MaxStreamBytes is the longest message by stream: a table of TableMost peers.
	MaxStreamBytes = 1 << 20
	// MaxPeers is how many peers are kept.
	MaxPeers = 4096
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 2 * MaxPeers, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // constants
	}
	return m
}()

// Encode is the message's bytes.
func Encode(m *Message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Decode reads a message. What is out of its bounds is an error.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

var errBounds = errors.New("swim: a field is out of its bounds")

func (m *Message) check() error {
	if m.From.Name == "" || len(m.From.Name) > MaxNameBytes || len(m.To.Name) > MaxNameBytes || len(m.Target.Name) > MaxNameBytes ||
		len(m.Addr) > MaxAddrBytes || len(m.TargetAddr) > MaxAddrBytes || len(m.Claims) > MaxPeers {
		return errBounds
	}
	for i := range m.Claims {
		c := &m.Claims[i]
		if c.Name == "" || len(c.Name) > MaxNameBytes || len(c.Addr) > MaxAddrBytes || len(c.Meta) > MaxMetaBytes || len(c.SuspectedBy) > MaxNameBytes {
			return errBounds
		}
	}
	return nil
}

// size is about what a claim takes on the wire.
func (c *Claim) size() int { return 24 + len(c.Name) + len(c.Addr) + len(c.Meta) + len(c.SuspectedBy) }

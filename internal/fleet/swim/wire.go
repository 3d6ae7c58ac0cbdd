package swim

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the kind of a message.
type Kind uint8

// The message kinds. Their numbers are part of the wire format and are never reused.
const (
	Ping      Kind = 1 // requests an Ack
	Ack       Kind = 2
	Ask       Kind = 3 // requests an indirect ping of Target, whose Ack is passed on
	Gossip    Kind = 4 // carries claims only
	Sync      Kind = 5 // carries all claims and requests all claims; sent by stream
	SyncReply Kind = 6
	Hello     Kind = 7 // join attempt to an address whose owner is unknown, or from a node that may not be a peer: carries no claims
	Welcome   Kind = 8 // answers a Hello
)

// State is the claimed state of a peer.
type State uint8

// The states, in the order in which they override each other within one epoch and incarnation.
const (
	Alive   State = 1
	Suspect State = 2
	Failed  State = 3
	Left    State = 4 // announced by the peer itself
)

var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Failed: "failed", Left: "left"}

// String returns the state's name for tables and JSON.
func (s State) String() string {
	if n, ok := stateNames[s]; ok {
		return n
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// ID identifies one start of one peer.
type ID struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint64
}

// Claim is a statement about a peer's state. Only the peer itself raises its incarnation.
type Claim struct {
	Name  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Inc   uint32 `cbor:"3,keyasint,omitempty"`
	State State  `cbor:"4,keyasint"`
	Addr  string `cbor:"5,keyasint,omitempty"`
	Meta  []byte `cbor:"6,keyasint,omitempty"`
	Age   uint32 `cbor:"7,keyasint,omitempty"` // Failed and Left: seconds since the sender recorded this state
	By    string `cbor:"8,keyasint,omitempty"` // Suspect: zone of the suspecting peer, or its name if it has no zone
}

// Message is a membership message. Receivers skip fields that they do not know and drop messages of unknown
// kinds.
type Message struct {
	Kind   Kind    `cbor:"1,keyasint"`
	Seq    uint32  `cbor:"2,keyasint,omitempty"`
	From   ID      `cbor:"3,keyasint"`
	Addr   string  `cbor:"4,keyasint,omitempty"` // address at which From is reached
	To     ID      `cbor:"5,keyasint"`           // empty: whoever is reached at the address
	Target ID      `cbor:"6,keyasint,omitzero"`
	TAddr  string  `cbor:"7,keyasint,omitempty"`
	Digest uint64  `cbor:"8,keyasint,omitempty"` // digest of From's membership table, 0 if not sent
	Claims []Claim `cbor:"9,keyasint,omitempty"`
}

// Limits for messages that are received.
const (
	NameMost = 64
	AddrMost = 80
	MetaMost = 256
	// PacketMost is the maximum length of a message sent by datagram, in bytes before sealing.
	PacketMost = 1200
	// StreamMost is the maximum length of a message sent by stream, in bytes: a table of TableMost peers.
	StreamMost = 1 << 20
	// TableMost is the maximum number of peers in the table.
	TableMost = 4096
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 2 * TableMost, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the wire form of a message.
func Encode(m *Message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// Decode parses a message. Malformed messages and fields beyond their limits are errors.
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
	if m.From.Name == "" || len(m.From.Name) > NameMost || len(m.To.Name) > NameMost || len(m.Target.Name) > NameMost ||
		len(m.Addr) > AddrMost || len(m.TAddr) > AddrMost || len(m.Claims) > TableMost {
		return errBounds
	}
	for i := range m.Claims {
		c := &m.Claims[i]
		if c.Name == "" || len(c.Name) > NameMost || len(c.Addr) > AddrMost || len(c.Meta) > MetaMost || len(c.By) > NameMost {
			return errBounds
		}
	}
	return nil
}

// size estimates the encoded length of a claim in bytes.
func (c *Claim) size() int { return 24 + len(c.Name) + len(c.Addr) + len(c.Meta) + len(c.By) }

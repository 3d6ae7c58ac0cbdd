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
	Ping        Kind = 1 // requests an Ack
	Ack         Kind = 2
	PingRequest Kind = 3 // requests an indirect ping of Target, whose Ack is passed on
	Gossip      Kind = 4 // carries claims only
	Sync        Kind = 5 // carries all claims and requests all claims; sent by stream
	SyncReply   Kind = 6
	Hello       Kind = 7 // join attempt to an address whose owner is unknown, or from a node that may not be a peer: carries no claims
	Welcome     Kind = 8 // answers a Hello
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
	Name        string `cbor:"1,keyasint"`
	Epoch       uint64 `cbor:"2,keyasint"`
	Incarnation uint32 `cbor:"3,keyasint,omitempty"`
	State       State  `cbor:"4,keyasint"`
	Addr        string `cbor:"5,keyasint,omitempty"`
	Meta        []byte `cbor:"6,keyasint,omitempty"`
	AgeSeconds  uint32 `cbor:"7,keyasint,omitempty"` // Failed and Left: seconds since the sender recorded this state
	SuspectedBy string `cbor:"8,keyasint,omitempty"` // Suspect: zone of the suspecting peer, or its name if it has no zone
}

// Message is a membership message. Receivers skip fields that they do not know and drop messages of unknown
// kinds.
type Message struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Seq        uint32  `cbor:"2,keyasint,omitempty"`
	From       ID      `cbor:"3,keyasint"`
	Addr       string  `cbor:"4,keyasint,omitempty"` // address at which From is reached
	To         ID      `cbor:"5,keyasint"`           // empty: whoever is reached at the address
	Target     ID      `cbor:"6,keyasint,omitzero"`
	TargetAddr string  `cbor:"7,keyasint,omitempty"`
	Digest     uint64  `cbor:"8,keyasint,omitempty"` // digest of From's membership table, 0 if not sent
	Claims     []Claim `cbor:"9,keyasint,omitempty"`
}

// Limits for messages that are received.
const (
	MaxNameBytes = 64
	MaxAddrBytes = 80
	MaxMetaBytes = 256
	// MaxDatagramBytes is the maximum length of a message sent by datagram, in bytes before sealing.
	MaxDatagramBytes = 1200
	// MaxStreamBytes is the maximum length of a message sent by stream, in bytes: a table of MaxPeers peers.
	MaxStreamBytes = 1 << 20
	// MaxPeers is the maximum number of peers in the table.
	MaxPeers = 4096
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 2 * MaxPeers, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
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
	if err := m.validate(); err != nil {
		return nil, err
	}
	return m, nil
}

var errLimits = errors.New("swim: a field is out of its bounds")

func (m *Message) validate() error {
	if m.From.Name == "" || len(m.From.Name) > MaxNameBytes || len(m.To.Name) > MaxNameBytes || len(m.Target.Name) > MaxNameBytes ||
		len(m.Addr) > MaxAddrBytes || len(m.TargetAddr) > MaxAddrBytes || len(m.Claims) > MaxPeers {
		return errLimits
	}
	for i := range m.Claims {
		c := &m.Claims[i]
		if c.Name == "" || len(c.Name) > MaxNameBytes || len(c.Addr) > MaxAddrBytes || len(c.Meta) > MaxMetaBytes || len(c.SuspectedBy) > MaxNameBytes {
			return errLimits
		}
	}
	return nil
}

// encodedSize estimates the encoded length of a claim in bytes.
func (c *Claim) encodedSize() int {
	return 24 + len(c.Name) + len(c.Addr) + len(c.Meta) + len(c.SuspectedBy)
}

package rig

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"reachwind/internal/fleet/group"
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/swim"
)

// Puppet is a peer that holds the group's key and says what it is told to: a liar, or one of another version.
type Puppet struct {
	Name string

	mu    sync.Mutex
	net   *peers.Sockets
	group *group.Group
	begin time.Time
	stop  chan struct{}
	done  sync.WaitGroup
	to    map[string]string // names and addresses of the rig's nodes
}

// Puppet adds a peer to the group. Seeds are all nodes.
func (r *Rig) Puppet(name, zone string) (*Puppet, error) {
	path := r.conf.Dir + "/" + name + ".keys"
	if err := os.WriteFile(path, []byte(r.Nodes[0].keys), 0o600); err != nil {
		return nil, err
	}
	keys, err := peers.ReadKeys(path)
	if err != nil {
		return nil, err
	}
	s, err := peers.Listen(peers.Config{Listen: "127.0.0.1:0", Keys: keys, BytesPerSecond: 1 << 20}, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	p := &Puppet{Name: name, net: s, begin: time.Now(), stop: make(chan struct{}), to: map[string]string{}}
	var seeds []string
	for _, n := range r.Nodes {
		seeds = append(seeds, n.Listen)
		p.to[n.Name] = n.Listen
	}
	p.group = group.New(group.Config{Version: "puppet", Swim: swim.Config{Name: name, Addr: s.AdvertisedAddr(), Zone: zone,
		Epoch: group.NewEpoch(time.Now().UnixMilli(), uint16(rand.Uint32()), 0), Seeds: seeds, Seed: rand.Uint64()}})
	p.done.Add(1)
	go p.run()
	return p, nil
}

func (p *Puppet) run() {
	defer p.done.Done()
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case m := <-p.net.Received():
			p.step(group.Event{Frame: m.Frame, Stream: m.Stream, Refused: m.RefusedAddr})
		case <-t.C:
			p.step()
		}
	}
}

func (p *Puppet) step(events ...group.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.group.Step(time.Since(p.begin), events...) {
		switch {
		case a.Frame != nil && a.Stream != 0:
			p.net.Reply(a.Stream, a.To, a.Frame, false)
		case a.Frame != nil:
			p.net.Send(a.Name, a.To, a.Frame, a.Dial, false)
		}
	}
}

// Say has it claim that it saw something of a member.
func (p *Puppet) Say(member string, k observation.Kind) {
	p.step(group.Event{Saw: &group.MemberObservation{Member: member, Kind: k}})
}

// Accuse has it tell each node that a peer is in a state in which it is not.
func (p *Puppet) Accuse(c swim.Claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.group.Swim.Self()
	for _, n := range p.group.Swim.Peers() {
		m := &swim.Message{Kind: swim.Gossip, From: swim.ID{Name: self.Name, Epoch: self.Epoch}, Addr: self.Addr,
			To: swim.ID{Name: n.Name, Epoch: n.Epoch}, Claims: []swim.Claim{c}}
		p.net.Send(n.Name, n.Addr, append([]byte{1}, swim.Encode(m)...), false, false)
	}
}

// Raw sends each node a frame as it is.
func (p *Puppet) Raw(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.group.Swim.Peers() {
		p.net.Send(n.Name, n.Addr, frame, false, false)
	}
}

// Peer is what the puppet knows of a node.
func (p *Puppet) Peer(name string) (swim.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Swim.Peer(name)
}

// Close ends it without a word.
func (p *Puppet) Close() {
	close(p.stop)
	p.done.Wait()
	p.net.Close()
}

// Junk floods a node with datagrams for a time: noise, and what relays recorded, cut off, repeated and sent back to
// whom it came from. It returns how many it sent.
func (r *Rig) Junk(to *Node, each time.Duration, span time.Duration) (int, error) {
	r.note("junk for %s, %v", to.Name, span)
	c, err := net.Dial("udp", to.Listen)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	var tape [][]byte
	for _, l := range r.relays {
		l.mu.Lock()
		tape = append(tape, l.tape...)
		l.mu.Unlock()
	}
	rng := rand.New(rand.NewPCG(r.conf.Seed, 0x6a756e6b))
	sent := 0
	for begin := time.Now(); time.Since(begin) < span; {
		for due := int(time.Since(begin) / each); sent < due; sent++ {
			b := make([]byte, rng.IntN(400))
			for i := 0; i+8 <= len(b); i += 8 {
				binary.LittleEndian.PutUint64(b[i:], rng.Uint64())
			}
			if k := rng.IntN(4); k > 0 && len(tape) > 0 {
				b = append([]byte(nil), tape[rng.IntN(len(tape))]...)
				switch k {
				case 1:
					b = b[:rng.IntN(len(b)+1)]
				case 2:
					b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
				}
			}
			_, _ = c.Write(b) // a full buffer loses them, as it should
		}
		time.Sleep(time.Millisecond)
	}
	return sent, nil
}

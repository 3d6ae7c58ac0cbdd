// Package peers is the group's sockets: one UDP and one TCP address, messages that
// are sealed under the group's keys, and bounds on what is sent and taken. Peers are
// known by what they say under a key, never by where a datagram comes from, so
// relays and changes of address do no harm.
package peers

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachwind/internal/logthrottle"
)

// Config is what the sockets are told.
type Config struct {
	Listen         string
	Advertise      string
	Keys           *Keys
	BytesPerSecond int               // a second, sent in all
	Routes         map[string]string // peers that are reached by another address than the one they tell
}

const (
	datagramMost = 1472
	streamMost   = 1<<20 + 4096
	streamWait   = 3 * time.Second // for all of an exchange
	streamsIn    = 16              // taken at once
	streamsOut   = 8
	queueMost    = 1024 // messages that wait for the owner; more are dropped
	junkMost     = 2000 // datagrams that are not authentic taken a second, then the reader rests: the socket's buffer drops
	burst        = 2    // seconds' worth of bytes
	firstEach    = 16   // of so many messages one is sealed under the first key, whatever the peer was heard to use
	reserve      = 0.25 // of it that only pings and their answers may use
)

// Incoming is an authentic frame, or an address that refused a connection.
type Incoming struct {
	Frame       []byte
	Stream      uint64
	RefusedAddr string
}

// Counts are what went and came, and what was dropped for which reason. They may be read at any time.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes                         atomic.Int64
	Unauthentic, Repeated, UnknownKey, Oversize, Overflow, Throttled atomic.Int64
	StreamsRefused                                                   atomic.Int64
}

// Sockets carry frames. Send and Answer are the owner's; the rest is safe for concurrent use.
type Sockets struct {
	Counts Counts
	conf   Config
	log    *slog.Logger
	udp    *net.UDPConn
	tcp    net.Listener
	in     chan Incoming
	ctx    context.Context
	cancel func()
	done   sync.WaitGroup
	out    chan struct{} // a place for each stream being dialled

	mu      sync.Mutex // held for what follows
	keys    *Keys
	routes  map[string]string
	sealer  *sealer
	opener  *opener
	heard   map[string][4]byte // key last heard of from an address as its owner tells it
	tried   map[string]int     // messages to addresses never heard from: keys are tried in turn
	addrs   map[string]*net.UDPAddr
	streams map[uint64]*inbound
	sends   uint64
	last    uint64
	room    float64
	roomAt  time.Time

	badKey, junk, failing logthrottle.Line
}

// Listen opens the sockets. Both have one port; port 0 is any.
func Listen(conf Config, log *slog.Logger) (*Sockets, error) {
	tcp, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return nil, err
	}
	at := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port, Zone: at.Zone})
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	s := &Sockets{conf: conf, log: log, udp: udp, tcp: tcp, in: make(chan Incoming, queueMost), out: make(chan struct{}, streamsOut), keys: conf.Keys,
		routes: conf.Routes, sealer: newSealer(), heard: map[string][4]byte{}, tried: map[string]int{}, addrs: map[string]*net.UDPAddr{},
		streams: map[uint64]*inbound{}, room: burst * float64(conf.BytesPerSecond), roomAt: time.Now()}
	s.opener = &opener{own: s.sealer.own, windows: map[instance]*window{}}
	if s.conf.Advertise == "" {
		s.conf.Advertise = tcp.Addr().String()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Add(2)
	go s.datagrams()
	go s.accept()
	return s, nil
}

// inbound is a stream that waits for its answer.
type inbound struct {
	c    net.Conn
	over chan struct{} // closed when it has had it
}

// AdvertisedAddr is what peers are told.
func (s *Sockets) AdvertisedAddr() string { return s.conf.Advertise }

// Received is what came.
func (s *Sockets) Received() <-chan Incoming { return s.in }

// SetKeys takes over other keys and routes.
func (s *Sockets) SetKeys(k *Keys, routes map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys, s.routes = k, routes
}

// Close closes the sockets and waits for their goroutines.
func (s *Sockets) Close() {
	s.cancel()
	_ = s.udp.Close()
	_ = s.tcp.Close()
	s.mu.Lock()
	for id, in := range s.streams {
		delete(s.streams, id)
		_ = in.c.Close()
		close(in.over)
	}
	s.mu.Unlock()
	s.done.Wait()
}

// key is the key to seal with for an address: the one that its owner was heard to use, so that a change of keys that
// is half done divides nobody; in turn while it was not heard of.
func (s *Sockets) key(addr string) *key {
	s.sends++
	if id, ok := s.heard[addr]; ok && s.sends%firstEach != 0 {
		for i := range s.keys.list {
			if s.keys.list[i].id == id {
				if n := s.tried[addr]; n < 3 { // it answers: no need to try others
					s.tried[addr]++
					return &s.keys.list[i]
				}
			}
		}
	}
	if len(s.tried) > windowsMax {
		clear(s.tried)
	}
	s.tried[addr]++
	if _, ok := s.heard[addr]; ok && s.tried[addr] < 3 { // once in a while the first, so that the old one goes out of use
		return &s.keys.list[0]
	}
	return &s.keys.list[(s.tried[addr]-1)%len(s.keys.list)]
}

// spend takes n bytes of what may be sent, or counts that they may not.
func (s *Sockets) spend(n int, spare bool) bool {
	now := time.Now()
	s.room = min(s.room+now.Sub(s.roomAt).Seconds()*float64(s.conf.BytesPerSecond), burst*float64(s.conf.BytesPerSecond))
	s.roomAt = now
	left := s.room - float64(n)
	if left < 0 || spare && left < reserve*burst*float64(s.conf.BytesPerSecond) {
		s.Counts.Throttled.Add(1)
		return false
	}
	s.room = left
	s.Counts.Sent.Add(1)
	s.Counts.SentBytes.Add(int64(n))
	return true
}

// sealed is a frame as it goes out, nil if it may not.
func (s *Sockets) sealed(addr string, frame []byte, spare bool) []byte {
	if !s.spend(headLen+1+len(s.conf.Advertise)+len(frame)+tagLen+28, spare) {
		return nil
	}
	return s.sealer.seal(s.key(addr), s.conf.Advertise, frame)
}

// Send sends a frame to a peer: by datagram, or by a stream of its own whose answer comes in. Name may be empty. It
// does not block; what can't be sent now is dropped, as on any bad day of the net.
func (s *Sockets) Send(name, addr string, frame []byte, stream, spare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := addr
	if r, ok := s.routes[name]; ok && name != "" {
		to = r
	}
	if stream || len(frame) > datagramMost-headLen-tagLen-1-len(s.conf.Advertise) {
		if b := s.sealed(addr, frame, spare); b != nil {
			s.dial(addr, to, b)
		}
		return
	}
	at := s.addrs[to]
	if at == nil {
		a, err := net.ResolveUDPAddr("udp", to)
		if err != nil || a.IP == nil {
			s.failing.Warn(s.log, "peer address not usable", "peer", name, "address", to, "err", err)
			return
		}
		if len(s.addrs) > windowsMax {
			clear(s.addrs)
		}
		at = a
		s.addrs[to] = at
	}
	if b := s.sealed(addr, frame, spare); b != nil {
		_, _ = s.udp.WriteToUDP(b, at) // as good as lost on the way
	}
}

// Reply sends a frame on a stream that a message came by.
func (s *Sockets) Reply(stream uint64, addr string, frame []byte, spare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.streams[stream]
	if in == nil {
		return
	}
	delete(s.streams, stream)
	b := s.sealed(addr, frame, spare)
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		if b != nil {
			_ = writeFrame(in.c, b)
		}
		_ = in.c.Close()
		close(in.over)
	}()
}

// dial sends by a stream of its own. The caller holds the lock.
func (s *Sockets) dial(addr, to string, b []byte) {
	select {
	case s.out <- struct{}{}:
	default:
		s.Counts.StreamsRefused.Add(1)
		return
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		defer func() { <-s.out }()
		d := net.Dialer{Timeout: streamWait / 2}
		c, err := d.DialContext(s.ctx, "tcp", to)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.post(Incoming{RefusedAddr: addr})
			}
			return
		}
		defer func() { _ = c.Close() }()
		stop := context.AfterFunc(s.ctx, func() { _ = c.Close() })
		defer stop()
		_ = c.SetDeadline(time.Now().Add(streamWait))
		if writeFrame(c, b) != nil {
			return
		}
		if answer, err := readFrame(c); err == nil {
			s.take(answer, 0)
		}
	}()
}

func writeFrame(c net.Conn, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(streamWait))
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > streamMost {
		return nil, errShort
	}
	// What is announced is not taken at once: memory grows with what comes.
	b, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(b) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// datagrams reads them, and rests where too many are junk.
func (s *Sockets) datagrams() {
	defer s.done.Done()
	buf := make([]byte, 64<<10)
	junk, since := 0, time.Now()
	for {
		n, _, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram of ours was refused
		}
		if s.take(buf[:n], 0) {
			continue
		}
		if time.Since(since) > time.Second {
			junk, since = 0, time.Now()
		}
		if junk++; junk > junkMost {
			time.Sleep(time.Millisecond)
		}
	}
}

// take opens a message and queues its frame, and tells whether it was authentic.
func (s *Sockets) take(b []byte, stream uint64) bool {
	s.mu.Lock()
	m, err := s.opener.open(s.keys, b)
	if err == nil {
		if len(s.heard) > windowsMax {
			clear(s.heard)
		}
		s.heard[m.addr] = m.key
		s.tried[m.addr] = 0
	}
	s.mu.Unlock()
	c := &s.Counts
	switch {
	case err == nil:
	case errors.Is(err, errRepeated), errors.Is(err, errOwn):
		c.Repeated.Add(1)
		return false
	case errors.Is(err, errKey):
		c.UnknownKey.Add(1)
		s.badKey.Warn(s.log, "fleet message under an unknown key")
		return false
	default:
		c.Unauthentic.Add(1)
		s.junk.Warn(s.log, "fleet message not authentic", "err", err)
		return false
	}
	c.Received.Add(1)
	c.ReceivedBytes.Add(int64(len(b)))
	s.post(Incoming{Frame: m.frame, Stream: stream})
	return true
}

func (s *Sockets) post(m Incoming) {
	select {
	case s.in <- m:
	default:
		s.Counts.Overflow.Add(1)
	}
}

// accept takes streams: one message each, answered on the stream within streamWait or not at all.
func (s *Sockets) accept() {
	defer s.done.Done()
	room := make(chan struct{}, streamsIn)
	for {
		c, err := s.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			s.Counts.StreamsRefused.Add(1)
			_ = c.Close()
			continue
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer func() { <-room }()
			s.serve(c)
		}()
	}
}

func (s *Sockets) serve(c net.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(streamWait))
	b, err := readFrame(c)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			s.Counts.Unauthentic.Add(1)
		}
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.last++
	id := s.last
	in := &inbound{c, make(chan struct{})}
	s.streams[id] = in
	s.mu.Unlock()
	if !s.take(b, id) {
		s.drop(id)
		return
	}
	t := time.NewTimer(streamWait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-in.over:
	case <-s.ctx.Done():
	}
	s.drop(id)
}

// drop ends a stream that has had no answer.
func (s *Sockets) drop(id uint64) {
	s.mu.Lock()
	in := s.streams[id]
	delete(s.streams, id)
	s.mu.Unlock()
	if in != nil {
		_ = in.c.Close()
	}
}

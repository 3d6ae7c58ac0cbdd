// Package peers provides the transport between gateways: one UDP and one TCP address, messages sealed under
// the group's keys, and limits on what is sent and received. Peers are identified by what they send under a
// key, never by the source address of a datagram, so relays and address changes do no harm.
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

// Config is the configuration of Sockets.
type Config struct {
	Listen         string
	Advertise      string
	Keys           *Keys
	BytesPerSecond int               // bytes per second sent in total
	Routes         map[string]string // peers by name that are reached at another address than the one they publish
}

const (
	datagramMost = 1472
	streamMost   = 1<<20 + 4096
	streamWait   = 3 * time.Second // for a whole request and answer
	streamsIn    = 16              // concurrent inbound streams
	streamsOut   = 8
	queueMost    = 1024 // messages waiting for the owner; further ones are dropped
	junkMost     = 2000 // datagrams per second that fail authentication before the reader slows down and lets the socket's buffer drop them
	burst        = 2    // send burst, in seconds of the byte rate
	firstEach    = 16   // one in this many messages is sealed under the first key, whatever key the peer uses
	reserve      = 0.25 // fraction of the burst reserved for frames that are not spare, such as pings and their answers
)

// Incoming is an authenticated frame, or an address that refused a connection.
type Incoming struct {
	Frame       []byte
	Stream      uint64
	RefusedAddr string
}

// Counts counts messages and bytes sent and received, and those dropped by reason. They may be read at any
// time.
type Counts struct {
	Sent, SentBytes, Received, ReceivedBytes                         atomic.Int64
	Unauthentic, Repeated, UnknownKey, Oversize, Overflow, Throttled atomic.Int64
	StreamsRefused                                                   atomic.Int64
}

// Sockets send and receive frames. Send and Answer must be called by one owner; the other methods are safe for
// concurrent use.
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
	out    chan struct{} // a slot for each stream being dialled

	mu      sync.Mutex // guards the fields below
	keys    *Keys
	routes  map[string]string
	sealer  *sealer
	opener  *opener
	heard   map[string][4]byte // last key received from the peer that publishes the address
	tried   map[string]int     // messages sent to an address since one was received from it; keys are tried in turn
	addrs   map[string]*net.UDPAddr
	streams map[uint64]*inbound
	sends   uint64
	last    uint64
	room    float64
	roomAt  time.Time

	badKey, junk, failing logthrottle.Line
}

// Listen opens the sockets. Both use the same port; port 0 selects a free one.
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
	over chan struct{} // closed when the answer was sent
}

// AdvertisedAddr returns the address that peers are told.
func (s *Sockets) AdvertisedAddr() string { return s.conf.Advertise }

// Received returns the channel of received frames and refused addresses.
func (s *Sockets) Received() <-chan Incoming { return s.in }

// SetKeys replaces keys and routes.
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

// key returns the key to seal with for an address: the last one that its owner used, so that a key rotation in
// progress divides nobody. Until the owner was heard the keys are tried in turn.
func (s *Sockets) key(addr string) *key {
	s.sends++
	if id, ok := s.heard[addr]; ok && s.sends%firstEach != 0 {
		for i := range s.keys.list {
			if s.keys.list[i].id == id {
				if n := s.tried[addr]; n < 3 { // it answers: no need to try other keys
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
	if _, ok := s.heard[addr]; ok && s.tried[addr] < 3 { // occasionally the first key, so that the old one goes out of use
		return &s.keys.list[0]
	}
	return &s.keys.list[(s.tried[addr]-1)%len(s.keys.list)]
}

// spend takes n bytes from the send budget, or counts the message as throttled and returns false. Spare frames
// may not use the reserve.
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

// sealed returns the sealed frame, or nil if the send budget is exhausted.
func (s *Sockets) sealed(addr string, frame []byte, spare bool) []byte {
	if !s.spend(headLen+1+len(s.conf.Advertise)+len(frame)+tagLen+28, spare) {
		return nil
	}
	return s.sealer.seal(s.key(addr), s.conf.Advertise, frame)
}

// Send sends a frame to a peer: by datagram, or by a new stream whose answer is received as a frame. Name may
// be empty. It does not block; what can't be sent now is dropped, as if lost by the network.
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
		_, _ = s.udp.WriteToUDP(b, at) // an error counts as loss on the way
	}
}

// Reply sends a frame on the stream that a message came by.
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

// dial sends a message by a new stream. The caller holds the lock.
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
	// The buffer is not allocated from the announced length: memory grows with what arrives.
	b, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(b) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// datagrams reads datagrams, and slows down while too many fail authentication.
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
			continue // an ICMP error for a datagram sent earlier
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

// take decrypts a message and queues its frame. It returns whether the message was authentic.
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

// accept accepts streams: one message each, answered on the stream within streamWait or not at all.
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

// drop closes a stream that was not answered.
func (s *Sockets) drop(id uint64) {
	s.mu.Lock()
	in := s.streams[id]
	delete(s.streams, id)
	s.mu.Unlock()
	if in != nil {
		_ = in.c.Close()
	}
}

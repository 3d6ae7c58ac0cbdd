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
	maxDatagramBytes        = 1472
	maxStreamBytes          = 1<<20 + 4096
	streamTimeout           = 3 * time.Second // for a whole request and answer
	maxStreamsIn            = 16              // concurrent inbound streams
	maxStreamsOut           = 8
	maxQueued               = 1024 // messages waiting for the owner; further ones are dropped
	maxUnauthenticPerSecond = 2000 // datagrams per second that fail authentication before the reader slows down and lets the socket's buffer drop them
	burstSeconds            = 2    // send burst, in seconds of the byte rate
	firstKeyInterval        = 16   // one in this many messages is sealed under the first key, whatever key the peer uses
	reservedFraction        = 0.25 // fraction of the burst reserved for frames that are not spare, such as pings and their answers
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

// Sockets send and receive frames. Send and Reply must be called by one owner; the other methods are safe for
// concurrent use.
type Sockets struct {
	Counts     Counts
	config     Config
	log        *slog.Logger
	udp        *net.UDPConn
	tcp        net.Listener
	received   chan Incoming
	ctx        context.Context
	cancel     func()
	goroutines sync.WaitGroup
	dialSlots  chan struct{} // a slot for each stream being dialled

	mu              sync.Mutex // guards the fields below
	keys            *Keys
	routes          map[string]string
	sealer          *sealer
	opener          *opener
	lastKeys        map[string][4]byte // last key received from the peer that publishes the address
	sendsUnanswered map[string]int     // messages sent to an address since one was received from it; keys are tried in turn
	addrs           map[string]*net.UDPAddr
	inboundStreams  map[uint64]*inbound
	sendCount       uint64
	lastStream      uint64
	sendBudget      float64
	budgetAt        time.Time

	unknownKeyLog, unauthenticLog, addressLog logthrottle.Line
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
	s := &Sockets{config: conf, log: log, udp: udp, tcp: tcp, received: make(chan Incoming, maxQueued), dialSlots: make(chan struct{}, maxStreamsOut), keys: conf.Keys,
		routes: conf.Routes, sealer: newSealer(), lastKeys: map[string][4]byte{}, sendsUnanswered: map[string]int{}, addrs: map[string]*net.UDPAddr{},
		inboundStreams: map[uint64]*inbound{}, sendBudget: burstSeconds * float64(conf.BytesPerSecond), budgetAt: time.Now()}
	s.opener = &opener{own: s.sealer.own, windows: map[instance]*window{}}
	if s.config.Advertise == "" {
		s.config.Advertise = tcp.Addr().String()
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.goroutines.Add(2)
	go s.readDatagrams()
	go s.acceptStreams()
	return s, nil
}

// inbound is a stream that waits for its answer.
type inbound struct {
	conn net.Conn
	done chan struct{} // closed when the answer was sent
}

// AdvertisedAddr returns the address that peers are told.
func (s *Sockets) AdvertisedAddr() string { return s.config.Advertise }

// Received returns the channel of received frames and refused addresses.
func (s *Sockets) Received() <-chan Incoming { return s.received }

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
	for id, in := range s.inboundStreams {
		delete(s.inboundStreams, id)
		_ = in.conn.Close()
		close(in.done)
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// sealKey returns the key to seal with for an address: the last one that its owner used, so that a key
// rotation in progress divides nobody. Until the owner was heard the keys are tried in turn.
func (s *Sockets) sealKey(addr string) *key {
	s.sendCount++
	if id, ok := s.lastKeys[addr]; ok && s.sendCount%firstKeyInterval != 0 {
		for i := range s.keys.list {
			if s.keys.list[i].id == id {
				if n := s.sendsUnanswered[addr]; n < 3 { // it answers: no need to try other keys
					s.sendsUnanswered[addr]++
					return &s.keys.list[i]
				}
			}
		}
	}
	if len(s.sendsUnanswered) > maxWindows {
		clear(s.sendsUnanswered)
	}
	s.sendsUnanswered[addr]++
	if _, ok := s.lastKeys[addr]; ok && s.sendsUnanswered[addr] < 3 { // occasionally the first key, so that the old one goes out of use
		return &s.keys.list[0]
	}
	return &s.keys.list[(s.sendsUnanswered[addr]-1)%len(s.keys.list)]
}

// takeBudget takes n bytes from the send budget, or counts the message as throttled and returns false. Spare
// frames may not use the reserve.
func (s *Sockets) takeBudget(n int, spare bool) bool {
	now := time.Now()
	s.sendBudget = min(s.sendBudget+now.Sub(s.budgetAt).Seconds()*float64(s.config.BytesPerSecond), burstSeconds*float64(s.config.BytesPerSecond))
	s.budgetAt = now
	left := s.sendBudget - float64(n)
	if left < 0 || spare && left < reservedFraction*burstSeconds*float64(s.config.BytesPerSecond) {
		s.Counts.Throttled.Add(1)
		return false
	}
	s.sendBudget = left
	s.Counts.Sent.Add(1)
	s.Counts.SentBytes.Add(int64(n))
	return true
}

// sealFrame returns the sealed frame, or nil if the send budget is exhausted.
func (s *Sockets) sealFrame(addr string, frame []byte, spare bool) []byte {
	if !s.takeBudget(headerLen+1+len(s.config.Advertise)+len(frame)+tagLen+28, spare) {
		return nil
	}
	return s.sealer.seal(s.sealKey(addr), s.config.Advertise, frame)
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
	if stream || len(frame) > maxDatagramBytes-headerLen-tagLen-1-len(s.config.Advertise) {
		if b := s.sealFrame(addr, frame, spare); b != nil {
			s.dial(addr, to, b)
		}
		return
	}
	at := s.addrs[to]
	if at == nil {
		a, err := net.ResolveUDPAddr("udp", to)
		if err != nil || a.IP == nil {
			s.addressLog.Warn(s.log, "peer address not usable", "peer", name, "address", to, "err", err)
			return
		}
		if len(s.addrs) > maxWindows {
			clear(s.addrs)
		}
		at = a
		s.addrs[to] = at
	}
	if b := s.sealFrame(addr, frame, spare); b != nil {
		_, _ = s.udp.WriteToUDP(b, at) // an error counts as loss on the way
	}
}

// Reply sends a frame on the stream that a message came by.
func (s *Sockets) Reply(stream uint64, addr string, frame []byte, spare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.inboundStreams[stream]
	if in == nil {
		return
	}
	delete(s.inboundStreams, stream)
	b := s.sealFrame(addr, frame, spare)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		if b != nil {
			_ = writeFrame(in.conn, b)
		}
		_ = in.conn.Close()
		close(in.done)
	}()
}

// dial sends a message by a new stream. The caller holds the lock.
func (s *Sockets) dial(addr, to string, b []byte) {
	select {
	case s.dialSlots <- struct{}{}:
	default:
		s.Counts.StreamsRefused.Add(1)
		return
	}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer func() { <-s.dialSlots }()
		d := net.Dialer{Timeout: streamTimeout / 2}
		c, err := d.DialContext(s.ctx, "tcp", to)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.enqueue(Incoming{RefusedAddr: addr})
			}
			return
		}
		defer func() { _ = c.Close() }()
		stop := context.AfterFunc(s.ctx, func() { _ = c.Close() })
		defer stop()
		_ = c.SetDeadline(time.Now().Add(streamTimeout))
		if writeFrame(c, b) != nil {
			return
		}
		if answer, err := readFrame(c); err == nil {
			s.receive(answer, 0)
		}
	}()
}

func writeFrame(c net.Conn, b []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(streamTimeout))
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxStreamBytes {
		return nil, errFormat
	}
	// The buffer is not allocated from the announced length: memory grows with what arrives.
	b, err := io.ReadAll(io.LimitReader(c, int64(n)))
	if err == nil && len(b) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// readDatagrams reads datagrams, and slows down while too many fail authentication.
func (s *Sockets) readDatagrams() {
	defer s.goroutines.Done()
	buf := make([]byte, 64<<10)
	unauthentic, windowStart := 0, time.Now()
	for {
		size, _, err := s.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error for a datagram sent earlier
		}
		if s.receive(buf[:size], 0) {
			continue
		}
		if time.Since(windowStart) > time.Second {
			unauthentic, windowStart = 0, time.Now()
		}
		if unauthentic++; unauthentic > maxUnauthenticPerSecond {
			time.Sleep(time.Millisecond)
		}
	}
}

// receive decrypts a message and queues its frame. It returns whether the message was authentic.
func (s *Sockets) receive(b []byte, stream uint64) bool {
	s.mu.Lock()
	m, err := s.opener.open(s.keys, b)
	if err == nil {
		if len(s.lastKeys) > maxWindows {
			clear(s.lastKeys)
		}
		s.lastKeys[m.addr] = m.key
		s.sendsUnanswered[m.addr] = 0
	}
	s.mu.Unlock()
	c := &s.Counts
	switch {
	case err == nil:
	case errors.Is(err, errRepeated), errors.Is(err, errReflected):
		c.Repeated.Add(1)
		return false
	case errors.Is(err, errUnknownKey):
		c.UnknownKey.Add(1)
		s.unknownKeyLog.Warn(s.log, "fleet message under an unknown key")
		return false
	default:
		c.Unauthentic.Add(1)
		s.unauthenticLog.Warn(s.log, "fleet message not authentic", "err", err)
		return false
	}
	c.Received.Add(1)
	c.ReceivedBytes.Add(int64(len(b)))
	s.enqueue(Incoming{Frame: m.frame, Stream: stream})
	return true
}

func (s *Sockets) enqueue(m Incoming) {
	select {
	case s.received <- m:
	default:
		s.Counts.Overflow.Add(1)
	}
}

// acceptStreams accepts streams: one message each, answered on the stream within streamTimeout or not at all.
func (s *Sockets) acceptStreams() {
	defer s.goroutines.Done()
	slots := make(chan struct{}, maxStreamsIn)
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
		case slots <- struct{}{}:
		default:
			s.Counts.StreamsRefused.Add(1)
			_ = c.Close()
			continue
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			defer func() { <-slots }()
			s.serveStream(c)
		}()
	}
}

func (s *Sockets) serveStream(c net.Conn) {
	stop := context.AfterFunc(s.ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(streamTimeout))
	b, err := readFrame(c)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			s.Counts.Unauthentic.Add(1)
		}
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.lastStream++
	id := s.lastStream
	in := &inbound{c, make(chan struct{})}
	s.inboundStreams[id] = in
	s.mu.Unlock()
	if !s.receive(b, id) {
		s.dropStream(id)
		return
	}
	t := time.NewTimer(streamTimeout)
	defer t.Stop()
	select {
	case <-t.C:
	case <-in.done:
	case <-s.ctx.Done():
	}
	s.dropStream(id)
}

// dropStream closes a stream that was not answered.
func (s *Sockets) dropStream(id uint64) {
	s.mu.Lock()
	in := s.inboundStreams[id]
	delete(s.inboundStreams, id)
	s.mu.Unlock()
	if in != nil {
		_ = in.conn.Close()
	}
}

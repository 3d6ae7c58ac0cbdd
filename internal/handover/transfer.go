package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	sendTimeout     = 200 * time.Millisecond // write timeout of a message on the socket between the processes
	ackTimeout      = 2 * time.Second        // wait for the successor's acknowledgement of a connection
	messageBufSize  = 16                     // read buffer in bytes; a message is one byte
	maxLinkAttempts = 2                      // successors that are tried: one may be shutting down while another is ready
	acceptGrace     = 3 * time.Millisecond   // no process must have connected for so long before the socket is closed
	stopTimeout     = 500 * time.Millisecond // wait for connections that were already sent when this process begins to shut down
)

// socketPath returns the path of the socket on which a process accepts connections.
func (s *SharedState) socketPath(startNumber uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("reachwind.%d.sock", startNumber))
}

// ReceiveConns receives the client connections that former processes hand over, and calls accept for each, until stop is
// called. A connection that began has completed its startup and is between commands; of any other nothing has been read.
// accept may be called from many goroutines. stop returns once all connections that were sent have been accepted, or after
// stopTimeout.
func (s *SharedState) ReceiveConns(accept func(nc net.Conn, began bool)) (stop func(), err error) {
	if !s.Joined() {
		return func() {}, &StateError{sharedStateName, ErrMissing, "no action needed: client connections are closed when they are idle"}
	}
	path := s.socketPath(s.startNumber)
	_ = os.Remove(path) // may be left from earlier shared memory, which counted the processes anew
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return func() {}, &StateError{filepath.Base(path), err, "set TMPDIR to a shorter path that the gateway can write to"}
	}
	r := &receiver{accept: accept, senders: map[*net.UnixConn]bool{}, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for {
			from, err := l.AcceptUnix()
			if err != nil {
				r.drain()
				return
			}
			r.addSender(from)
		}
	}()
	return func() {
		_ = l.SetDeadline(time.Now().Add(acceptGrace)) // processes that have already connected are still accepted
		select {
		case <-r.done:
		case <-time.After(stopTimeout):
		}
		_ = l.Close()
	}, nil
}

// receiver accepts connections from any number of former processes.
type receiver struct {
	accept func(net.Conn, bool)
	done   chan struct{} // closed once all connections that were sent have been accepted

	mu      sync.Mutex
	senders map[*net.UnixConn]bool
	active  sync.WaitGroup
}

// addSender accepts connections from one former process in the background.
func (r *receiver) addSender(from *net.UnixConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senders[from] = true
	r.active.Add(1)
	go func() {
		defer r.active.Done()
		receiveFrom(from, r.accept)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.senders, from)
	}()
}

// drain accepts the connections that are in transit and prevents the former processes from sending more.
func (r *receiver) drain() {
	r.mu.Lock()
	for from := range r.senders {
		_ = from.CloseRead() // what was written can still be read, but no more can be written
	}
	r.mu.Unlock()
	r.active.Wait()
}

// receiveFrom accepts the connections of one former process, and acknowledges each.
func receiveFrom(sender *net.UnixConn, accept func(net.Conn, bool)) {
	defer func() { _ = sender.Close() }()
	message, rights := make([]byte, messageBufSize), make([]byte, syscall.CmsgSpace(4*messageBufSize))
	acknowledge := true
	for {
		n, rn, _, _, err := sender.ReadMsgUnix(message, rights)
		if err != nil || n == 0 {
			return
		}
		all, err := syscall.ParseSocketControlMessage(rights[:rn])
		if err != nil {
			return
		}
		accepted := false
		for i := range all {
			fds, _ := syscall.ParseUnixRights(&all[i])
			for _, fd := range fds {
				f := os.NewFile(uintptr(fd), "passed on")
				nc, err := net.FileConn(f)
				_ = f.Close()
				if err == nil {
					accept(nc, message[0] == 1)
					accepted = true
				}
			}
		}
		if !accepted { // most likely out of descriptors: the former process keeps this connection and those behind it
			return
		}
		if acknowledge { // a process of an earlier version does not read acknowledgements: its socket buffer fills up
			_ = sender.SetWriteDeadline(time.Now().Add(sendTimeout))
			_, err := sender.Write(message[:1])
			acknowledge = err == nil
		}
	}
}

// errNoSuccessor reports that no process accepts connections.
var errNoSuccessor = errors.New("no process of this gateway is ready to accept it")

// errNotAccepted reports that the other process closed the link or died before it acknowledged a connection.
var errNotAccepted = errors.New("the other process did not accept the connection")

// ConnSender hands client connections over to the successor. It is safe for concurrent use.
type ConnSender struct {
	state      *SharedState
	ackTimeout time.Duration // for the acknowledgement of a connection

	mu        sync.Mutex
	successor *link // nil: none yet, or the last one accepts no more
}

// link is a connection to a successor, which acknowledges the client connections that it accepts in the order sent.
type link struct {
	*net.UnixConn

	mu      sync.Mutex
	pending []chan error // one for each connection without an acknowledgement yet, oldest first
	closed  bool
}

// NewConnSender returns a ConnSender. It connects to the successor when the first connection is sent.
func (s *SharedState) NewConnSender() *ConnSender {
	return &ConnSender{state: s, ackTimeout: ackTimeout}
}

// Send hands a connection over to the most recently started process that is ready. If it returns nil, the caller may only
// close its copy of the connection; with an error the caller still owns the connection, also if the other process died
// before it accepted it. Without an acknowledgement in time the other process may still accept it, so Send returns nil.
func (p *ConnSender) Send(nc net.Conn, began bool) error {
	ack, err := p.send(nc, began)
	if err != nil {
		return err
	}
	late := time.NewTimer(p.ackTimeout)
	defer late.Stop()
	select {
	case err = <-ack:
	case <-late.C:
	}
	return err
}

// send sends a connection, and returns the channel that receives nil or an error once it is acknowledged or lost.
func (p *ConnSender) send(nc net.Conn, began bool) (<-chan error, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNoSuccessor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	message := []byte{0}
	if began {
		message[0] = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxLinkAttempts {
		if p.successor == nil {
			if p.successor, err = p.state.connectSuccessor(); err != nil {
				return nil, err
			}
		}
		to, ack := p.successor, p.successor.expectAck()
		_ = to.SetWriteDeadline(time.Now().Add(sendTimeout))
		if e := raw.Control(func(fd uintptr) { _, _, err = to.WriteMsgUnix(message, syscall.UnixRights(int(fd)), nil) }); e != nil {
			err = e
		}
		if err == nil {
			return ack, nil
		}
		to.cancelAck(ack)
		p.successor = nil // acknowledgements of what was sent on it before are still received
	}
	return nil, err
}

// connectSuccessor connects to the most recently started process that is ready.
func (s *SharedState) connectSuccessor() (*link, error) {
	startNumber := uint64(0)
	for _, o := range s.Peers() {
		if o.Ready && !o.Older {
			startNumber = max(startNumber, o.StartNumber)
		}
	}
	if startNumber == 0 {
		return nil, errNoSuccessor
	}
	to, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: s.socketPath(startNumber), Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l := &link{UnixConn: to}
	go l.readAcks()
	return l, nil
}

// readAcks receives acknowledgements until the other process closes the link or dies.
func (l *link) readAcks() {
	defer func() { _ = l.Close() }()
	for message := make([]byte, messageBufSize); ; {
		n, err := l.Read(message)
		l.mu.Lock()
		if n == 0 || err != nil {
			l.closed = true
			for _, w := range l.pending {
				w <- errNotAccepted
			}
			l.pending = nil
			l.mu.Unlock()
			return
		}
		if len(l.pending) > 0 {
			l.pending[0] <- nil
			l.pending = l.pending[1:]
		}
		l.mu.Unlock()
	}
}

// expectAck returns the channel for the acknowledgement of what is written next.
func (l *link) expectAck() chan error {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := make(chan error, 1)
	if l.closed {
		w <- errNotAccepted
	} else {
		l.pending = append(l.pending, w)
	}
	return w
}

// cancelAck undoes expectAck after a write that failed.
func (l *link) cancelAck(w chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(o chan error) bool { return o == w })
}

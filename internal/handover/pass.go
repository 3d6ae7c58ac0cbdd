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
	passWait  = 200 * time.Millisecond // write timeout of a message on the socket between the processes
	takenWait = 2 * time.Second        // wait for the successor's acknowledgement of a connection
	passRoom  = 16                     // read buffer in bytes; a message is one byte
	linkTries = 2                      // successors that are tried: one may be shutting down while another is ready
	lastIn    = 3 * time.Millisecond   // no process must have connected for so long before the socket is closed
	endWait   = 500 * time.Millisecond // wait for connections that were already sent when this process begins to shut down
)

func (b *Board) socket(birth uint64) string {
	return filepath.Join(b.dir, fmt.Sprintf("reachwind.%d.sock", birth))
}

// Receive accepts the client connections that former processes hand over, and calls take for each, until stop is called. A
// connection that began has completed its startup and is between commands; of any other nothing has been read. take may be
// called from many goroutines. stop returns once all connections that were sent have been accepted, or after endWait.
func (b *Board) Receive(take func(nc net.Conn, began bool)) (stop func(), err error) {
	if !b.Shared() {
		return func() {}, &StateError{boardName, ErrMissing, "no action needed: client connections are closed when they are idle"}
	}
	path := b.socket(b.birth)
	_ = os.Remove(path) // left by a process that used earlier shared memory
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return func() {}, &StateError{filepath.Base(path), err, "set TMPDIR to a shorter path that the gateway can write to"}
	}
	r := &receiver{take: take, from: map[*net.UnixConn]bool{}, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for {
			from, err := l.AcceptUnix()
			if err != nil {
				r.end()
				return
			}
			r.add(from)
		}
	}()
	return func() {
		_ = l.SetDeadline(time.Now().Add(lastIn)) // processes that have already connected are still accepted
		select {
		case <-r.done:
		case <-time.After(endWait):
		}
		_ = l.Close()
	}, nil
}

// receiver accepts connections from any number of former processes.
type receiver struct {
	take func(net.Conn, bool)
	done chan struct{} // closed once all connections that were sent have been accepted

	mu   sync.Mutex
	from map[*net.UnixConn]bool
	busy sync.WaitGroup
}

func (r *receiver) add(from *net.UnixConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from[from] = true
	r.busy.Add(1)
	go func() {
		defer r.busy.Done()
		receive(from, r.take)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.from, from)
	}()
}

// end accepts the connections that are in transit and prevents the former processes from sending more.
func (r *receiver) end() {
	r.mu.Lock()
	for from := range r.from {
		_ = from.CloseRead() // what was written can still be read, but no more can be written
	}
	r.mu.Unlock()
	r.busy.Wait()
}

// receive accepts the connections of one former process, and acknowledges each.
func receive(from *net.UnixConn, take func(net.Conn, bool)) {
	defer func() { _ = from.Close() }()
	kind, rights := make([]byte, passRoom), make([]byte, syscall.CmsgSpace(4*passRoom))
	tell := true
	for {
		n, rn, _, _, err := from.ReadMsgUnix(kind, rights)
		if err != nil || n == 0 {
			return
		}
		all, err := syscall.ParseSocketControlMessage(rights[:rn])
		if err != nil {
			return
		}
		taken := false
		for i := range all {
			fds, _ := syscall.ParseUnixRights(&all[i])
			for _, fd := range fds {
				f := os.NewFile(uintptr(fd), "passed on")
				nc, err := net.FileConn(f)
				_ = f.Close()
				if err == nil {
					take(nc, kind[0] == 1)
					taken = true
				}
			}
		}
		if !taken { // most likely out of descriptors: the former process keeps this connection and those behind it
			return
		}
		if tell { // a process of an earlier version does not read acknowledgements: its socket buffer fills up
			_ = from.SetWriteDeadline(time.Now().Add(passWait))
			_, err := from.Write(kind[:1])
			tell = err == nil
		}
	}
}

// errNobody reports that no process accepts connections.
var errNobody = errors.New("no process of this gateway is ready to accept it")

// errDied reports that the other process ended before it acknowledged a connection.
var errDied = errors.New("the other process ended before it accepted the connection")

// Passer hands client connections over to the successor. It is safe for concurrent use.
type Passer struct {
	b    *Board
	wait time.Duration // for the acknowledgement of a connection

	mu sync.Mutex
	to *link // nil: none yet, or the last one accepts no more
}

// link is a connection to a successor, which acknowledges the client connections that it accepts in the order sent.
type link struct {
	*net.UnixConn

	mu      sync.Mutex
	waiting []chan error // one for each connection without an acknowledgement yet, oldest first
	dead    bool
}

// Passer returns a Passer. It connects to the successor when the first connection is sent.
func (b *Board) Passer() *Passer { return &Passer{b: b, wait: takenWait} }

// Pass hands a connection over to the most recently started process that is ready. If it returns nil, the caller may only
// close its copy of the connection; with an error the caller still owns the connection, also if the other process died
// before it accepted it. Without an acknowledgement in time the other process may still accept it, so Pass returns nil.
func (p *Passer) Pass(nc net.Conn, began bool) error {
	taken, err := p.pass(nc, began)
	if err != nil {
		return err
	}
	late := time.NewTimer(p.wait)
	defer late.Stop()
	select {
	case err = <-taken:
	case <-late.C:
	}
	return err
}

// pass sends a connection, and returns the channel that receives nil or an error once it is acknowledged or lost.
func (p *Passer) pass(nc net.Conn, began bool) (<-chan error, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNobody
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	kind := []byte{0}
	if began {
		kind[0] = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range linkTries {
		if p.to == nil {
			if p.to, err = p.b.link(); err != nil {
				return nil, err
			}
		}
		to, taken := p.to, p.to.await()
		_ = to.SetWriteDeadline(time.Now().Add(passWait))
		if e := raw.Control(func(fd uintptr) { _, _, err = to.WriteMsgUnix(kind, syscall.UnixRights(int(fd)), nil) }); e != nil {
			err = e
		}
		if err == nil {
			return taken, nil
		}
		to.forget(taken)
		p.to = nil // acknowledgements of what was sent on it before are still received
	}
	return nil, err
}

// link connects to the most recently started process that is ready.
func (b *Board) link() (*link, error) {
	birth := uint64(0)
	for _, o := range b.Others() {
		if o.Ready && !o.Older {
			birth = max(birth, o.Birth)
		}
	}
	if birth == 0 {
		return nil, errNobody
	}
	to, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: b.socket(birth), Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	l := &link{UnixConn: to}
	go l.hear()
	return l, nil
}

// hear receives acknowledgements until the other process closes the link or dies.
func (l *link) hear() {
	defer func() { _ = l.Close() }()
	for word := make([]byte, passRoom); ; {
		n, err := l.Read(word)
		l.mu.Lock()
		if n == 0 || err != nil {
			l.dead = true
			for _, w := range l.waiting {
				w <- errDied
			}
			l.waiting = nil
			l.mu.Unlock()
			return
		}
		if len(l.waiting) > 0 {
			l.waiting[0] <- nil
			l.waiting = l.waiting[1:]
		}
		l.mu.Unlock()
	}
}

// await returns the channel for the acknowledgement of what is written next.
func (l *link) await() chan error {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := make(chan error, 1)
	if l.dead {
		w <- errDied
	} else {
		l.waiting = append(l.waiting, w)
	}
	return w
}

// forget undoes await after a write that failed.
func (l *link) forget(w chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(o chan error) bool { return o == w })
}

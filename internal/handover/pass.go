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
	passWait  = 200 * time.Millisecond // for room on the way to the successor
	takenWait = 2 * time.Second        // for its word that it took a connection over
	passRoom  = 16                     // bytes; a message is one
	linkTries = 2                      // successors that are tried: one may be ending, with another one ready
	lastIn    = 3 * time.Millisecond   // nobody must have come for so long before the socket is closed
	endWait   = 500 * time.Millisecond // for connections that were passed on when this process begins to end
)

func (b *SharedState) socket(birth uint64) string {
	return filepath.Join(b.dir, fmt.Sprintf("reachwind.%d.sock", birth))
}

// ReceiveConns takes over the connections that a former process passes on, until stop is called. A connection that began
// is one whose startup is over and that stands before a command; else nothing of it was read.
func (b *SharedState) ReceiveConns(take func(nc net.Conn, began bool)) (stop func(), err error) {
	if !b.Joined() {
		return func() {}, &StateError{boardName, ErrMissing, "nothing: clients' connections are closed when they are idle"}
	}
	path := b.socket(b.birth)
	_ = os.Remove(path) // of a process of an earlier board
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return func() {}, &StateError{filepath.Base(path), err, "give the gateway a shorter path as TMPDIR, one that it may write to"}
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
		_ = l.SetDeadline(time.Now().Add(lastIn)) // who has come is let in
		select {
		case <-r.done:
		case <-time.After(endWait):
		}
		_ = l.Close()
	}, nil
}

// receiver takes connections over from any number of former processes.
type receiver struct {
	take func(net.Conn, bool)
	done chan struct{} // closed when all that was passed on has been taken over

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

// end has the former processes keep what they did not pass on yet, and takes over what is on its way.
func (r *receiver) end() {
	r.mu.Lock()
	for from := range r.from {
		_ = from.CloseRead() // what was written is still read, no more can be written
	}
	r.mu.Unlock()
	r.busy.Wait()
}

// receive takes over what comes from one process, and tells it of each connection.
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
		if !taken { // for want of descriptors, most likely: the former process goes on with it, and with what follows
			return
		}
		if tell { // a process of an earlier version does not listen: its room fills
			_ = from.SetWriteDeadline(time.Now().Add(passWait))
			_, err := from.Write(kind[:1])
			tell = err == nil
		}
	}
}

// errNobody says that no process takes connections over.
var errNobody = errors.New("no process of this gateway is ready to take it over")

// errDied says that the other process ended before it took a connection over.
var errDied = errors.New("the other process has not taken it over")

// ConnSender passes connections on to the successor.
type ConnSender struct {
	b    *SharedState
	wait time.Duration // for word that a connection is taken over

	mu sync.Mutex
	to *link // nil: none, or one that takes no more
}

// link is a connection to a successor, which tells of each that it takes over, in turn.
type link struct {
	*net.UnixConn

	mu      sync.Mutex
	waiting []chan error // of what was passed on, the oldest first
	dead    bool
}

// NewConnSender returns a passer; nothing is opened yet.
func (b *SharedState) NewConnSender() *ConnSender { return &ConnSender{b: b, wait: takenWait} }

// Send gives a connection to the youngest process that is ready. Without an error the caller may only close its own
// side of it; with one it still has it, also where the other process died before it took it over. Where neither is known
// in time the other may still take it, so it counts as taken. It may be called from many goroutines.
func (p *ConnSender) Send(nc net.Conn, began bool) error {
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

// pass passes a connection on, and returns where word of it comes.
func (p *ConnSender) pass(nc net.Conn, began bool) (<-chan error, error) {
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
		p.to = nil // what it was given before is still heard of
	}
	return nil, err
}

// link connects to the youngest process that is ready.
func (b *SharedState) link() (*link, error) {
	birth := uint64(0)
	for _, o := range b.Peers() {
		if o.Ready && !o.Older {
			birth = max(birth, o.StartNumber)
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

// hear takes word of what is taken over, until the other process ends the link or dies.
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

// await returns where word comes of what is written next.
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

// forget takes back await, as nothing was written.
func (l *link) forget(w chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(o chan error) bool { return o == w })
}

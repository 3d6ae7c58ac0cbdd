package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	passWait = 200 * time.Millisecond // for the successor to take a connection
	passRoom = 16                     // bytes; a message is one
)

func (b *Board) socket(birth uint64) string {
	return filepath.Join(b.dir, fmt.Sprintf("reachwind.%d.sock", birth))
}

// Receive takes over the connections that a former process passes on, until stop is called. A connection that began
// is one whose startup is over and that stands before a command; else nothing of it was read.
func (b *Board) Receive(take func(nc net.Conn, began bool)) (stop func(), err error) {
	if !b.Shared() {
		return func() {}, &StateError{boardName, ErrMissing, "nothing: clients' connections are closed when they are idle"}
	}
	path := b.socket(b.birth)
	_ = os.Remove(path) // of a process of an earlier board
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return func() {}, &StateError{filepath.Base(path), err, "give the gateway a shorter path as TMPDIR, one that it may write to"}
	}
	go func() {
		for {
			from, err := l.AcceptUnix()
			if err != nil {
				return
			}
			go receive(from, take)
		}
	}()
	return func() { _ = l.Close() }, nil
}

func receive(from *net.UnixConn, take func(net.Conn, bool)) {
	defer func() { _ = from.Close() }()
	kind, rights := make([]byte, passRoom), make([]byte, syscall.CmsgSpace(4*passRoom))
	for {
		n, rn, _, _, err := from.ReadMsgUnix(kind, rights)
		if err != nil || n == 0 {
			return
		}
		all, err := syscall.ParseSocketControlMessage(rights[:rn])
		if err != nil {
			return
		}
		for i := range all {
			fds, _ := syscall.ParseUnixRights(&all[i])
			for _, fd := range fds {
				f := os.NewFile(uintptr(fd), "passed on")
				nc, err := net.FileConn(f)
				_ = f.Close()
				if err == nil {
					take(nc, kind[0] == 1)
				}
			}
		}
	}
}

// errNobody says that no process takes connections over.
var errNobody = errors.New("no process of this gateway is ready to take it over")

// Passer passes connections on to the successor. It is not safe for concurrent use.
type Passer struct {
	b  *Board
	to *net.UnixConn
}

// Passer returns a passer; nothing is opened yet.
func (b *Board) Passer() *Passer { return &Passer{b: b} }

// Pass gives a connection to the youngest process that is ready. Without an error the caller may only close its own
// side of it; with one it still has it.
func (p *Passer) Pass(nc net.Conn, began bool) error {
	if p.to == nil {
		birth := uint64(0)
		for _, o := range p.b.Others() {
			if o.Ready && !o.Older {
				birth = max(birth, o.Birth)
			}
		}
		if birth == 0 {
			return errNobody
		}
		to, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: p.b.socket(birth), Net: "unixpacket"})
		if err != nil {
			return err
		}
		p.to = to
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return errNobody
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	kind := []byte{0}
	if began {
		kind[0] = 1
	}
	_ = p.to.SetWriteDeadline(time.Now().Add(passWait))
	if e := raw.Control(func(fd uintptr) { _, _, err = p.to.WriteMsgUnix(kind, syscall.UnixRights(int(fd)), nil) }); e != nil {
		err = e
	}
	if err != nil {
		p.Close()
	}
	return err
}

// Close ends the passer's own connection.
func (p *Passer) Close() {
	if p.to != nil {
		_ = p.to.Close()
		p.to = nil
	}
}

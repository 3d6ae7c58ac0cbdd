package pgfront

import (
	"bytes"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/pgwire"
)

// TestAdoptWhileClosing: a connection that another process hands over while this one begins to shut down may carry a
// command, which must be answered before the connection is closed.
func TestAdoptWhileClosing(t *testing.T) {
	s, _ := newServer(&fakeCore{}, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write(queryMessage("")); err != nil {
		t.Fatal(err)
	}
	raw, err := near.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Read(func(fd uintptr) bool { // waits until the command has arrived
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	})
	s.Quiesce(true)
	s.Adopt(near, true)
	_ = far.SetDeadline(time.Now().Add(30 * time.Second))
	got, err := io.ReadAll(far)
	if want := pgwire.AppendReadyForQuery(pgwire.Append(nil, 'I')); err != nil || !bytes.Equal(got, want) {
		t.Errorf("answered %q, %v, want %q", got, err, want)
	}
}

// TestAdoptedAreEvicted: idle connections that another process handed over are closed to make room for new clients, also if
// as many were adopted as the limit allows.
func TestAdoptedAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(&fakeCore{}, 2)
		var peers []*peer
		for range 4 { // MaxConnections and SpareConnections
			a, b := net.Pipe()
			s.Adopt(b, true)
			peers = append(peers, newPeer(a))
		}
		time.Sleep(time.Second)
		ask := append(pgwire.AppendStartup(nil, "app", "shop"), queryMessage("")...)
		first := dial(s, ask) // may be refused while the idle ones are still being closed
		time.Sleep(2 * time.Second)
		second := dial(s, ask)
		if got := second.replies(t); !slices.Contains(got, "I") {
			t.Errorf("a new client got %q, although all other connections are idle", got)
		}
		for _, p := range append(peers, first, second) {
			close(p.write)
			_ = p.Close()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}

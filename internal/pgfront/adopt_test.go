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

// TestAdoptWhileClosing: a connection that another process passes on as this one begins to end may carry a command: it is
// answered before the connection ends.
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
	if _, err := far.Write(query("")); err != nil {
		t.Fatal(err)
	}
	raw, err := near.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Read(func(fd uintptr) bool { // until the command has come
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

// TestAdoptedMakeRoom: connections that another process passed on and that are idle make room for clients that come,
// also where they are as many as may be adopted.
func TestAdoptedMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newServer(&fakeCore{}, 2)
		var peers []*peer
		for range 4 { // Max and Spare
			a, b := net.Pipe()
			s.Adopt(b, true)
			peers = append(peers, newPeer(a))
		}
		time.Sleep(time.Second)
		ask := append(pgwire.AppendStartup(nil, "app", "shop"), query("")...)
		first := dial(s, ask) // may be refused, while room is being made
		time.Sleep(2 * time.Second)
		second := dial(s, ask)
		if got := second.replies(t); !slices.Contains(got, "I") {
			t.Errorf("a client that comes is answered %q, with nobody else at work", got)
		}
		for _, p := range append(peers, first, second) {
			close(p.write)
			_ = p.Close()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
}

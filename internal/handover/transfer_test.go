package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// clientConn returns the client's and the gateway's end of a client connection.
func clientConn(t *testing.T) (far, near net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if far, err = net.Dial("tcp", l.Addr().String()); err == nil {
		near, err = l.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = far.Close()
		_ = near.Close()
	})
	_ = far.SetDeadline(time.Now().Add(time.Minute))
	return far, near
}

// openSharedState opens the shared state in dir.
func openSharedState(t *testing.T, dir string) *SharedState {
	t.Helper()
	b, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// patientSender returns a sender that waits long enough for acknowledgements on a loaded machine.
func patientSender(b *SharedState) *ConnSender {
	p := b.NewConnSender()
	p.ackTimeout = time.Minute
	return p
}

// TestSendToKilledProcess: if a successor is killed after a connection was sent to it and before it accepted it, that
// connection is not lost: the former process still owns it. Once the successor has accepted a connection, the former process
// may close its copy without ending it.
func TestSendToKilledProcess(t *testing.T) {
	dir := t.TempDir()
	sender := patientSender(openSharedState(t, dir))
	next := startProcess(t, dir)
	next.command("take x 0")
	if !next.out.Scan() || next.out.Text() != "done <nil>" {
		t.Fatal(next.out.Text())
	}
	far, near := clientConn(t)
	if err := sender.Send(near, true); err != nil {
		t.Fatal(err)
	}
	_ = near.Close()
	expectRead(t, far, "taken")

	_ = next.Process.Signal(syscall.SIGSTOP)
	for !stopped(next.Process.Pid) {
		time.Sleep(time.Millisecond)
	}
	far, near = clientConn(t)
	sent := make(chan error, 1)
	go func() { sent <- sender.Send(near, true) }()
	for written := false; !written; time.Sleep(time.Millisecond) {
		sender.mu.Lock() // pass holds it until the message is written
		sender.successor.mu.Lock()
		written = len(sender.successor.pending) == 1
		sender.successor.mu.Unlock()
		sender.mu.Unlock()
	}
	next.kill()
	if err := <-sent; !errors.Is(err, errNotAccepted) {
		t.Errorf("sending to a killed process: %v", err)
	}
	if _, err := near.Write([]byte("still")); err != nil {
		t.Fatal(err)
	}
	expectRead(t, far, "still")
}

// stopped reports whether all threads of a process are stopped.
func stopped(pid int) bool {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if _, rest, _ := strings.Cut(string(text), ") "); err == nil && !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return len(tasks) > 0
}

func expectRead(t *testing.T, nc net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != want {
		t.Errorf("read %q, %v, want %q", b, err, want)
	}
}

// TestSendToStoppingProcess: a process that shuts down accepts all connections that were already sent to it before its stop
// returns; later ones go to another process that is ready, or stay with the sender.
func TestSendToStoppingProcess(t *testing.T) {
	dir := t.TempDir()
	sender := patientSender(openSharedState(t, dir))
	ending := openSharedState(t, dir)
	gate, taken := make(chan struct{}), new(atomic.Int64)
	stop, err := ending.ReceiveConns(func(net.Conn, bool) {
		<-gate
		taken.Add(1)
	})
	if err != nil {
		t.Fatal(err)
	}
	ending.SetReady(true)
	const many = 5
	var acks []<-chan error
	for range many {
		_, near := clientConn(t)
		ack, err := sender.send(near, true)
		if err != nil {
			t.Fatal(err)
		}
		acks = append(acks, ack)
	}
	first := sender.successor
	ending.SetReady(false)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	_, near := clientConn(t)
	for late := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) { // until the sender's link is closed for writing
		sender.mu.Lock()
		sender.successor = first
		sender.mu.Unlock()
		word, err := sender.send(near, true)
		if err != nil {
			_ = first.SetWriteDeadline(time.Now().Add(time.Second))
			if _, e := first.Write([]byte{0}); !errors.Is(err, errNoSuccessor) || !errors.Is(e, syscall.EPIPE) {
				t.Errorf("connection not sent: %v; writing to the link: %v", err, e)
			}
			break
		}
		acks = append(acks, word)
		if time.Now().After(late) {
			t.Fatal("a process that shuts down continues to accept connections")
		}
	}
	next := openSharedState(t, dir)
	if _, err := next.ReceiveConns(func(nc net.Conn, _ bool) { _, _ = fmt.Fprint(nc, "next") }); err != nil {
		t.Fatal(err)
	}
	next.SetReady(true)
	far, near := clientConn(t)
	sender.mu.Lock()
	sender.successor = first
	sender.mu.Unlock()
	if err := sender.Send(near, true); err != nil {
		t.Error(err)
	}
	expectRead(t, far, "next")
	close(gate)
	for _, w := range acks {
		if err := <-w; err != nil {
			t.Error(err)
		}
	}
	<-stopped
	if n := taken.Load(); n != int64(len(acks)) {
		t.Errorf("%d of %d connections were accepted", n, len(acks))
	}
}

// TestSendWithoutDescriptors: if the descriptor of a connection does not arrive, because the successor is out of descriptors,
// neither that connection nor any sent behind it is acknowledged: the former process still owns them all.
func TestSendWithoutDescriptors(t *testing.T) {
	dir := t.TempDir()
	sender := patientSender(openSharedState(t, dir))
	next := openSharedState(t, dir)
	if _, err := next.ReceiveConns(func(net.Conn, bool) {}); err != nil {
		t.Fatal(err)
	}
	next.SetReady(true)
	_, near := clientConn(t)
	if err := sender.Send(near, true); err != nil {
		t.Fatal(err)
	}
	sender.mu.Lock()
	successor := sender.successor
	ack := successor.expectAck()
	_, _, err := successor.WriteMsgUnix([]byte{1}, nil, nil) // what arrives if the system discards the descriptor
	sender.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	if err := <-ack; !errors.Is(err, errNotAccepted) {
		t.Errorf("a connection that did not arrive was acknowledged: %v", err)
	}
}

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

// client is a client's connection, and the gateway's side of it.
func client(t *testing.T) (far, near net.Conn) {
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

// board takes a place in dir.
func board(t *testing.T, dir string) *SharedState {
	t.Helper()
	b, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func patient(b *SharedState) *ConnSender {
	p := b.NewConnSender()
	p.wait = time.Minute
	return p
}

// TestPassToTheDying: a successor that is killed after a connection was written to it, and before it took it over, takes
// none with it: the former process still has it. One that took it over has it, and the former one's close ends nothing.
func TestPassToTheDying(t *testing.T) {
	dir := t.TempDir()
	p := patient(board(t, dir))
	next := start(t, dir)
	next.tell("take x 0")
	if !next.out.Scan() || next.out.Text() != "done <nil>" {
		t.Fatal(next.out.Text())
	}
	far, near := client(t)
	if err := p.Send(near, true); err != nil {
		t.Fatal(err)
	}
	_ = near.Close()
	read(t, far, "taken")

	_ = next.Process.Signal(syscall.SIGSTOP)
	for !stopped(next.Process.Pid) {
		time.Sleep(time.Millisecond)
	}
	far, near = client(t)
	passed := make(chan error, 1)
	go func() { passed <- p.Send(near, true) }()
	for written := false; !written; time.Sleep(time.Millisecond) {
		p.mu.Lock() // held until it is written
		p.to.mu.Lock()
		written = len(p.to.waiting) == 1
		p.to.mu.Unlock()
		p.mu.Unlock()
	}
	next.kill()
	if err := <-passed; !errors.Is(err, errDied) {
		t.Errorf("passed on to a process that died: %v", err)
	}
	if _, err := near.Write([]byte("still")); err != nil {
		t.Fatal(err)
	}
	read(t, far, "still")
}

// stopped tells whether all threads of a process are stopped.
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

func read(t *testing.T, nc net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != want {
		t.Errorf("read %q, %v, want %q", b, err, want)
	}
}

// TestPassToTheEnding: a process that begins to end takes over all that was on its way to it before its end is done; what
// comes later goes to another that is ready, or stays.
func TestPassToTheEnding(t *testing.T) {
	dir := t.TempDir()
	p := patient(board(t, dir))
	ending := board(t, dir)
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
	var words []<-chan error
	for range many {
		_, near := client(t)
		word, err := p.pass(near, true)
		if err != nil {
			t.Fatal(err)
		}
		words = append(words, word)
	}
	first := p.to
	ending.SetReady(false)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	_, near := client(t)
	for late := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) { // until its end has come to the link
		p.mu.Lock()
		p.to = first
		p.mu.Unlock()
		word, err := p.pass(near, true)
		if err != nil {
			_ = first.SetWriteDeadline(time.Now().Add(time.Second))
			if _, e := first.Write([]byte{0}); !errors.Is(err, errNobody) || !errors.Is(e, syscall.EPIPE) {
				t.Errorf("not passed on: %v; the link: %v", err, e)
			}
			break
		}
		words = append(words, word)
		if time.Now().After(late) {
			t.Fatal("a process that ends goes on taking connections over")
		}
	}
	next := board(t, dir)
	if _, err := next.ReceiveConns(func(nc net.Conn, _ bool) { _, _ = fmt.Fprint(nc, "next") }); err != nil {
		t.Fatal(err)
	}
	next.SetReady(true)
	far, near := client(t)
	p.mu.Lock()
	p.to = first
	p.mu.Unlock()
	if err := p.Send(near, true); err != nil {
		t.Error(err)
	}
	read(t, far, "next")
	close(gate)
	for _, w := range words {
		if err := <-w; err != nil {
			t.Error(err)
		}
	}
	<-stopped
	if n := taken.Load(); n != int64(len(words)) {
		t.Errorf("%d of %d were taken over", n, len(words))
	}
}

// TestPassWithoutRoom: a connection whose descriptor did not arrive, as the successor has none left, is not told to be
// taken over, nor is what was written behind it: the former process has them all.
func TestPassWithoutRoom(t *testing.T) {
	dir := t.TempDir()
	p := patient(board(t, dir))
	next := board(t, dir)
	if _, err := next.ReceiveConns(func(net.Conn, bool) {}); err != nil {
		t.Fatal(err)
	}
	next.SetReady(true)
	_, near := client(t)
	if err := p.Send(near, true); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	to := p.to
	word := to.await()
	_, _, err := to.WriteMsgUnix([]byte{1}, nil, nil) // as it comes where the system cut the descriptor off
	p.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	if err := <-word; !errors.Is(err, errDied) {
		t.Errorf("a connection that did not arrive: %v", err)
	}
}

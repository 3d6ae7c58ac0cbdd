package interruptible

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
)

// TestNoLostMessage: whenever a message is left, before a read, during it or
// between the reset of the deadline and the next read, the reader gets it.
func TestNoLostMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		w := New[int](a, 16)
		const most = 1000
		got := 0
		done := make(chan error, 1)
		go func() {
			for got < most {
				if _, err := w.Peek(1, func() error {
					for _, m := range w.TakeMessages() {
						if m != got {
							return errors.New("out of order")
						}
						got++
					}
					if got == most {
						return io.EOF
					}
					return nil
				}); err != nil {
					done <- err
					return
				}
			}
		}()
		for i := range most {
			if !w.Post(i) {
				t.Fatal("mailbox closed")
			}
			if i%3 == 0 {
				synctest.Wait()
			}
		}
		if err := <-done; err != io.EOF || got != most {
			t.Errorf("%d of %d messages, %v", got, most, err)
		}
		w.Post(most)
		if left := w.CloseAll(); len(left) != 1 || w.Post(0) {
			t.Errorf("%d messages left at the end, or the mailbox is open", len(left))
		}
		_ = b.Close()
	})
}

// TestFill: a wake in the middle of a message loses no byte of it.
func TestFill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		w := New[int](a, 16)
		body := make([]byte, 64)
		woken := 0
		done := make(chan error, 1)
		go func() { done <- w.ReadFull(body, func() error { woken++; return nil }) }()
		for i := range 64 {
			_, _ = b.Write([]byte{byte(i)})
			if i%7 == 0 {
				w.Post(i)
				synctest.Wait()
			}
		}
		if err := <-done; err != nil || woken == 0 {
			t.Fatal(err, woken)
		}
		for i, c := range body {
			if int(c) != i {
				t.Fatalf("byte %d is %d", i, c)
			}
		}
		_, _ = w.CloseAll(), b.Close()
	})
}

// TestQuiet: what came unread shows even while a read deadline hides it.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, text := range []string{"", "x"} {
		a, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		w := New[int](a, 64)
		if !w.NoPendingInput() {
			t.Error("not quiet, though nothing came")
		}
		w.Post(1)
		_, _ = b.Write([]byte(text)) // a close counts as well
		_ = b.Close()
		for w.NoPendingInput() { // the loopback takes a moment; the test's own limit ends a wait for nothing
			runtime.Gosched()
		}
		_ = w.CloseAll()
	}
}

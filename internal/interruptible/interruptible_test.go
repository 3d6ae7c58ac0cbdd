package interruptible

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
)

// TestNoMessageLost: the reader gets every message, whether it is posted before a read, during one or between the reset
// of the deadline and the next read.
func TestNoMessageLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		w := New[int](a, 16)
		const messages = 1000
		got := 0
		done := make(chan error, 1)
		go func() {
			for got < messages {
				if _, err := w.Peek(1, func() error {
					for _, m := range w.TakeMessages() {
						if m != got {
							return errors.New("out of order")
						}
						got++
					}
					if got == messages {
						return io.EOF
					}
					return nil
				}); err != nil {
					done <- err
					return
				}
			}
		}()
		for i := range messages {
			if !w.Post(i) {
				t.Fatal("mailbox closed")
			}
			if i%3 == 0 {
				synctest.Wait()
			}
		}
		if err := <-done; err != io.EOF || got != messages {
			t.Errorf("%d of %d messages, %v", got, messages, err)
		}
		w.Post(messages)
		if left := w.CloseAll(); len(left) != 1 || w.Post(0) {
			t.Errorf("%d messages remain at the end, want 1, or the mailbox is still open", len(left))
		}
		_ = b.Close()
	})
}

// TestReadFull: an interruption in the middle of a message loses no byte of it.
func TestReadFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		w := New[int](a, 16)
		body := make([]byte, 64)
		interrupts := 0
		done := make(chan error, 1)
		go func() { done <- w.ReadFull(body, func() error { interrupts++; return nil }) }()
		for i := range 64 {
			_, _ = b.Write([]byte{byte(i)})
			if i%7 == 0 {
				w.Post(i)
				synctest.Wait()
			}
		}
		if err := <-done; err != nil || interrupts == 0 {
			t.Fatal(err, interrupts)
		}
		for i, c := range body {
			if int(c) != i {
				t.Fatalf("byte %d is %d", i, c)
			}
		}
		_, _ = w.CloseAll(), b.Close()
	})
}

// TestNoPendingInput: unread bytes and the peer's close are noticed even while a read deadline has passed.
func TestNoPendingInput(t *testing.T) {
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
			t.Error("input is reported as pending, though nothing was sent")
		}
		w.Post(1)
		_, _ = b.Write([]byte(text)) // a close counts as well
		_ = b.Close()
		for w.NoPendingInput() { // the loopback takes a moment; the time limit of the test bounds this
			runtime.Gosched()
		}
		_ = w.CloseAll()
	}
}

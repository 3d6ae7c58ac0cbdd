package peerclose

import (
	"net"
	"testing"
	"time"
)

// TestSeen: the end of a peer's sending and a reset are seen behind unread bytes; bytes alone, or no socket, are no end.
func TestSeen(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":      func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_, _ = c.Write(make([]byte, 1000))
			if _, err := nc.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if Detected(nc) {
				t.Error("seen while there are only bytes")
			}
			end(c.(*net.TCPConn))
			for n := 0; !Detected(nc); n++ {
				if n > 20_000 {
					t.Fatal("never seen")
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	a, b := net.Pipe()
	_ = b.Close()
	if Detected(a) || Detected(nil) {
		t.Error("seen of what is no socket")
	}
}

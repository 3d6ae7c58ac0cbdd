package pgfront

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/interruptible"
)

// TestStreamToSlowClient guards against a long answer that is cut off while its client goes on reading, or pauses and goes on, and
// against a client that reads next to nothing and keeps a member's connection.
func TestStreamToSlowClient(t *testing.T) {
	const size, chunk = 4 << 20, 32 << 10
	for name, tc := range map[string]struct {
		perSecond int
		pause     time.Duration // after each MiB
		whole     bool
	}{"50,000 bytes a second": {50_000, 0, true}, "10 bytes a second": {10, 0, false}, "pauses of 25 s": {1 << 20, 25 * time.Second, true},
		"a pause of 31 s": {1 << 20, 31 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				w := newStreamWriter(&conn{Conn: interruptible.New[message](server, initialReadSize)})
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					buf := make([]byte, tc.perSecond/10)
					for got := 1; ; got += len(buf) {
						if tc.pause > 0 && got%(1<<20) < len(buf) {
							time.Sleep(tc.pause)
						}
						if _, err := io.ReadFull(client, buf); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				began, sent := time.Now(), 0
				for err := error(nil); sent < size && err == nil; {
					var n int
					n, err = w.Write(make([]byte, chunk))
					sent += n
				}
				if whole := sent >= size; whole != tc.whole {
					t.Errorf("%d of %d bytes written in %v", sent, size, time.Since(began))
				}
				if most := maxClientPause + chunk/minStreamRate*time.Second; !tc.whole && time.Since(began) > most {
					t.Errorf("ended after %v, want %v at most", time.Since(began), most)
				}
				_ = server.Close()
				_ = client.Close()
				<-ended
			})
		})
	}
}

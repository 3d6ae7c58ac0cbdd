package upgrade

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/pgwire"
	"reachwind/internal/standin/cluster"
)

// TestStreamedAnswerDuringUpgrade guards against cutting off an answer that a replaced process is streaming while its member hangs, and
// against clients that have to wait for it: the next process serves meanwhile, and the old one ends when the answer has.
func TestStreamedAnswerDuringUpgrade(t *testing.T) {
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 1, Piece: 16 << 10, PiecePause: 100 * time.Millisecond, PauseAfter: 200 << 10, PauseFor: 8 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	value := strings.Repeat("v", 1<<20)
	c.Put(0, "big", value)
	c.Put(0, "small", "s")
	p, err := New(program, t.TempDir(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	former, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer former.Kill()
	ask := func(item string) string { // all that comes until the connection ends
		nc, err := net.Dial("tcp", p.Addr)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = nc.Close() }()
		text := fmt.Sprintf("/* id=stream-%s,c=my-notes,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = '%s'\x00", item, item)
		_, _ = nc.Write(pgwire.Append(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'Q', text), 'X'))
		all, _ := io.ReadAll(nc)
		return string(all)
	}
	streamed := make(chan string, 1)
	go func() { streamed <- ask("big") }()
	time.Sleep(500 * time.Millisecond)
	next, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Kill()
	time.Sleep(300 * time.Millisecond)
	former.Signal(syscall.SIGTERM)
	time.Sleep(4 * time.Second) // past the time of a stop without streams
	complete := string(pgwire.AppendReadyForQuery(nil))
	if got := ask("small"); !strings.HasSuffix(got, complete) || !strings.Contains(got, "SELECT 1") {
		t.Errorf("while the former process streams: %q", got)
	}
	if got := <-streamed; !strings.HasSuffix(got, complete) || !strings.Contains(got, value) {
		t.Errorf("%d bytes of the streamed answer arrived\n%s", len(got), former.Log())
	}
	select {
	case <-former.Ended():
	case <-time.After(5 * time.Second):
		t.Errorf("the former process does not end\n%s", former.Log())
	}
}

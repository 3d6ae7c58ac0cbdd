package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

// TestListenerToggled: while the listener is disabled and enabled again and again, clients that have connected are
// accepted: at most one in a hundred is reset without having been accepted, and refused clients notice it at once.
func TestListenerToggled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	toggle := newToggleListener(l)
	go func() {
		for {
			c, err := toggle.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte{1})
			_ = c.Close()
		}
	}()
	var served, refused, reset atomic.Int64
	var done sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", toggle.addr)
				if err != nil {
					refused.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				if n, _ := c.Read(make([]byte, 1)); n == 1 {
					served.Add(1)
				} else {
					reset.Add(1)
				}
				_ = c.Close()
				time.Sleep(200 * time.Microsecond)
			}
		}()
	}
	for range 40 {
		time.Sleep(10 * time.Millisecond)
		toggle.Disable()
		time.Sleep(15 * time.Millisecond)
		if err := toggle.Enable(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	done.Wait()
	t.Logf("%d served, %d refused, %d reset without being accepted", served.Load(), refused.Load(), reset.Load())
	if served.Load() < 100 || refused.Load() == 0 {
		t.Errorf("%d served, %d refused: want at least 100 and 1, else the test shows little", served.Load(), refused.Load())
	}
	if reset.Load()*100 > served.Load() {
		t.Errorf("%d connections were reset without being accepted, %d served", reset.Load(), served.Load())
	}
	if err := toggle.Close(); err != nil {
		t.Error(err)
	}
	if err := toggle.Enable(); err != nil || toggle.Close() != nil {
		t.Error("a closed listener can be enabled, or closing it again fails")
	}
}

// lateListener is a listener whose first Accept is held up until its deadline has passed.
type lateListener struct {
	*net.TCPListener
	calls atomic.Int64
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.calls.Add(1) == 1 {
		time.Sleep(2 * closeAfterIdle)
	}
	return l.TCPListener.Accept()
}

// TestListenerHeldUp guards against the reset of connections that wait when the listener is disabled, by a process that gets no
// processor time before it looks for them.
func TestListenerHeldUp(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	toggle := newToggleListener(&lateListener{TCPListener: l})
	c, err := net.Dial("tcp", toggle.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	toggle.Disable()
	go func() {
		if c, err := toggle.Accept(); err == nil {
			_, _ = c.Write([]byte{1})
			_, _ = toggle.Accept()
		}
	}()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if n, err := c.Read(make([]byte, 1)); n != 1 {
		t.Errorf("the connection that waited ended with %v, want it accepted", err)
	}
	if err := toggle.Close(); err != nil {
		t.Error(err)
	}
}

// TestListenerAcceptsBeforeClosing: connections that wait to be accepted when the listener is disabled or closed are
// accepted, with what they sent. Then connections are refused, even if clients keep connecting.
func TestListenerAcceptsBeforeClosing(t *testing.T) {
	for name, end := range map[string]func(*toggleListener){"shut": (*toggleListener).Disable, "closed": func(toggle *toggleListener) { _ = toggle.Close() }} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d := newToggleListener(l)
		const many = 20
		var clients []net.Conn
		for i := range many {
			c, err := net.Dial("tcp", d.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			if _, err := c.Write([]byte{byte(i)}); err != nil {
				t.Fatal(err)
			}
			clients = append(clients, c)
		}
		end(d) // none of them has been accepted
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				c, err := d.Accept()
				if err != nil {
					return
				}
				b := make([]byte, 1)
				if _, err := c.Read(b); err == nil {
					_, _ = c.Write(b)
				}
				defer func() { _ = c.Close() }()
			}
		}()
		for i, c := range clients {
			b := make([]byte, 1)
			if _, err := c.Read(b); err != nil || b[0] != byte(i) {
				t.Errorf("%s: client %d: %v, %v", name, i, b, err)
			}
		}
		waitFor(t, "refused", func() bool {
			for range 10 { // without a pause
				c, err := net.Dial("tcp", d.addr)
				if err != nil {
					return true
				}
				_, _ = c.Write([]byte{0})
				_ = c.Close()
			}
			return false
		})
		_ = d.Close()
		<-done
	}
}

// TestOverlayDrains: a member that is permitted to go out of service is listed as draining, whatever discovery says,
// until the permit ends; but never the last usable member of its group.
func TestOverlayDrains(t *testing.T) {
	state := map[string]decide.MemberState{}
	overlay := newOverlay("g", func(kind decide.EventKind, members []core.ListedMember) {
		if kind != decide.ListChange {
			clear(state)
		}
		for _, m := range members {
			state[m.ID] = m.State
		}
	})
	member := func(id string, group int64, s decide.MemberState) core.ListedMember {
		return core.ListedMember{Member: decide.Member{ID: id, Group: group, State: s}}
	}
	all := []core.ListedMember{member("a", 1, decide.Up), member("b", 1, decide.Up), member("c", 2, decide.Up)}
	want := func(what, id string, s decide.MemberState) {
		t.Helper()
		if state[id] != s {
			t.Errorf("%s: %s is %v, want %v", what, id, state[id], s)
		}
	}
	overlay.List(decide.ListSaved, all)
	overlay.SetDrains([]string{"a", "c"})
	want("permitted", "a", decide.Draining)
	want("the last of its group", "c", decide.Up)
	if overlay.lastInGroup != 1 {
		t.Errorf("%d members kept in use, want 1", overlay.lastInGroup)
	}
	overlay.List(decide.ListSaved, all)
	want("listed anew", "a", decide.Draining)
	overlay.List(decide.ListChange, []core.ListedMember{member("b", 1, decide.Draining)})
	overlay.SetDrains([]string{"a"}) // discovery lists b as draining: a is the last usable one
	want("the other one drains", "a", decide.Up)
	overlay.List(decide.ListChange, []core.ListedMember{member("b", 1, decide.Up)})
	overlay.SetDrains([]string{"a"})
	want("again", "a", decide.Draining)
	overlay.SetDrains(nil)
	want("no longer", "a", decide.Up)
}

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

// TestDoor: while the door is shut and opened again and again, a client that has connected is let in: none is reset unseen
// by the hundred, and those that are refused know it at once.
func TestDoor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := newDoor(l)
	go func() {
		for {
			c, err := d.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte{1})
			_ = c.Close()
		}
	}()
	var served, refused, lost atomic.Int64
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
				c, err := net.Dial("tcp", d.addr)
				if err != nil {
					refused.Add(1)
					time.Sleep(time.Millisecond)
					continue
				}
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				if n, _ := c.Read(make([]byte, 1)); n == 1 {
					served.Add(1)
				} else {
					lost.Add(1)
				}
				_ = c.Close()
				time.Sleep(200 * time.Microsecond)
			}
		}()
	}
	for range 40 {
		time.Sleep(10 * time.Millisecond)
		d.Shut()
		time.Sleep(15 * time.Millisecond)
		if err := d.Open(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	done.Wait()
	t.Logf("%d served, %d refused, %d reset unseen", served.Load(), refused.Load(), lost.Load())
	if served.Load() < 100 || refused.Load() == 0 {
		t.Errorf("%d served, %d refused: this shows little", served.Load(), refused.Load())
	}
	if lost.Load()*100 > served.Load() {
		t.Errorf("%d connections were reset unseen, %d served", lost.Load(), served.Load())
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
	if err := d.Open(); err != nil || d.Close() != nil {
		t.Error("a door that is closed for good can be opened")
	}
}

// TestDoorCloses: who has connected when the door is shut or closed for good, and whom nobody has let in, is let in with
// what it sent; then connections are refused, also where clients come all the time.
func TestDoorCloses(t *testing.T) {
	for name, end := range map[string]func(*door){"shut": (*door).Shut, "closed": func(d *door) { _ = d.Close() }} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		d := newDoor(l)
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
		end(d) // nobody has accepted any
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
		until(t, "refused", func() bool {
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

// TestOverlay: a member that is permitted to go out is listed as draining whatever discovery says, until it no longer is;
// never the last usable one of its group.
func TestOverlay(t *testing.T) {
	state := map[string]decide.MemberState{}
	o := newOverlay("g", func(kind decide.EventKind, members []core.ListedMember) {
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
	o.List(decide.ListSaved, all)
	o.Drain([]string{"a", "c"})
	want("permitted", "a", decide.Draining)
	want("the last of its group", "c", decide.Up)
	if o.Kept != 1 {
		t.Errorf("%d were kept in use, want 1", o.Kept)
	}
	o.List(decide.ListSaved, all)
	want("listed anew", "a", decide.Draining)
	o.List(decide.ListChange, []core.ListedMember{member("b", 1, decide.Draining)})
	o.Drain([]string{"a"}) // b drains by discovery: a is the last
	want("the other one drains", "a", decide.Up)
	o.List(decide.ListChange, []core.ListedMember{member("b", 1, decide.Up)})
	o.Drain([]string{"a"})
	want("again", "a", decide.Draining)
	o.Drain(nil)
	want("no longer", "a", decide.Up)
}

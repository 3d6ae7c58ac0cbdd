package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/adminapi"
	"reachwind/internal/core"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
)

// ring calls the door and returns the status and the text.
func ring(t *testing.T, method, url string) (int, string) {
	t.Helper()
	q, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := (&http.Client{Timeout: 20 * time.Second}).Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(text)
}

// until waits until f is true, for a generous time.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never:", what)
		}
	}
}

// TestOperators: a gateway with stand-in members under load, whose lists change all the time. After a yes to suspend
// nothing reaches the member beyond the grace time until resume, also over reloads; then it is used again.
func TestOperators(t *testing.T) {
	c, err := cluster.Start(cluster.Config{Groups: 2, Replicas: 2, Lag: 2 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admin := free.Addr().String()
	_ = free.Close()
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("NODE_ADMIN_ADDR", admin)
	conf, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if on, off := conf.Budget(new(Edge)), gatewayFor(t, c).Budget(new(Edge)); on.Sockets+on.Files != off.Sockets || on.Files < 64 {
		t.Errorf("budget %+v with the door, %+v without", on, off)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	term, stop := context.WithCancel(t.Context())
	hup, done := make(chan os.Signal), make(chan error, 1)
	go func() {
		done <- Run(term, hup, conf, l, Options{Path: path, Version: "test", Log: slog.New(slog.DiscardHandler)})
	}()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	until(t, "the door", func() bool {
		nc, err := net.Dial("tcp", admin)
		if err == nil {
			_ = nc.Close()
		}
		return err == nil
	})
	door := "http://" + admin + "/v1/"
	until(t, "ready", func() bool { code, _ := ring(t, "GET", door+"readyz"); return code == 200 })

	load, end := context.WithCancel(t.Context())
	var work sync.WaitGroup
	defer work.Wait()
	defer end()
	for i := range 6 {
		work.Add(1)
		go func() {
			defer work.Done()
			conn, err := pgclient.Dial(l.Addr().String(), 10*time.Second)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			for n := 0; load.Err() == nil; n++ {
				q := pgclient.Request{ID: fmt.Sprint(i, "-", n), Class: "map-tiles", Tenant: "kea-basin", Wait: 2 * time.Second, Cluster: int64(i % 2), Item: "x"}
				if n%2 == 0 {
					q.Class = "field-info" // from data of any age: a member that was away long is tried by these
				}
				if n%5 == 0 {
					q.Class, q.Key, q.Value, q.Write = "map-edits", q.ID, "v", true
				}
				if _, err := conn.Do(&q); err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}

	members := c.Members()
	rng := rand.New(rand.NewPCG(1, 2))
	took := func(m *cluster.Member) int { return c.Took(m) }
	for _, m := range []*cluster.Member{c.Primary(0), members[rng.IntN(len(members))], members[rng.IntN(len(members))]} {
		before := took(m)
		until(t, "use before the ban of "+m.ID, func() bool { return took(m) > before+3 })
		for range 2 {
			if code, text := ring(t, "POST", door+"db-machines/"+m.ID+"/suspend"); code != 200 {
				t.Fatal(code, text)
			}
		}
		time.Sleep(250 * time.Millisecond)
		before = took(m)
		for range 12 { // meanwhile the lists say all kinds of things
			switch rng.IntN(4) {
			case 0:
				m.Drain(true)
			case 1:
				m.Drain(false)
			case 2:
				m.Kill()
				if err := m.Restart(); err != nil {
					t.Fatal(err)
				}
			case 3:
				hup <- os.Interrupt
			}
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		m.Drain(false)
		if after := took(m); after != before {
			t.Errorf("%s took %d more while it was suspended", m.ID, after-before)
		}
		if code, text := ring(t, "POST", door+"db-machines/"+m.ID+"/resume"); code != 200 {
			t.Fatal(code, text)
		}
		until(t, "use after the ban of "+m.ID, func() bool { return took(m) > before })
	}
	// The last members of a group as well: its requests are refused then, and served once they are back.
	all := slices.DeleteFunc(members, func(m *cluster.Member) bool { return m.Group != 1 })
	for _, m := range all {
		ring(t, "POST", door+"db-machines/"+m.ID+"/suspend")
	}
	conn, err := pgclient.Dial(l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ask := func(id string) pgclient.Verdict {
		a, err := conn.Do(&pgclient.Request{ID: id, Class: "map-tiles", Tenant: "kea-basin", Wait: 2 * time.Second, Cluster: 1, Item: "x"})
		if err != nil {
			t.Fatal(err)
		}
		return a.Verdict
	}
	if v := ask("none"); v != pgclient.Refused {
		t.Errorf("answer %v from a group without members", pgclient.Names[v])
	}
	for _, m := range all {
		ring(t, "POST", door+"db-machines/"+m.ID+"/resume")
	}
	n := 0
	until(t, "served again", func() bool { n++; return ask(fmt.Sprint("again", n)) == pgclient.Served })
	for _, want := range []struct {
		method, path string
		code         int
	}{{"POST", "db-machines/nobody/suspend", 404}, {"POST", "db-machines/nobody/resume", 404}, {"GET", "db-machines/" + members[0].ID + "/resume", 405},
		{"POST", "readyz", 405}, {"POST", "db-machines/" + members[0].ID + "/drain", 404}, {"GET", "", 404}, {"POST", "db-machines/" + members[0].ID + "/resume", 200}} {
		if code, text := ring(t, want.method, door+want.path); code != want.code || len(text) < 4 {
			t.Errorf("%s %s: %d %q, want %d", want.method, want.path, code, text, want.code)
		}
	}
}

// TestStalledOwner: an owner that does not come to it in time leaves the operator with a no, and does nothing later.
func TestStalledOwner(t *testing.T) {
	owner := core.New(core.NewClock(), nil, slog.New(slog.DiscardHandler))
	o := newOperators(adminapi.Config{}, owner, slog.New(slog.DiscardHandler))
	o.set.ApplyList(decide.ListFull, []core.ListedMember{{Member: decide.Member{ID: "m"}}})
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := o.Suspend(short, "m"); !errors.As(err, new(adminapi.NotDoneError)) {
		t.Errorf("from a stalled owner: %v", err)
	}
	if err := o.Ready(); err == nil {
		t.Error("ready without a list")
	}
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	owner.Post(func() { close(ran) })
	over := make(chan struct{})
	go func() { owner.Run(ctx); close(over) }()
	<-ran
	stop()
	<-over
	if ids := o.set.Suspended(); len(ids) > 0 {
		t.Errorf("after a no, %v are suspended", ids)
	}
}

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

// callAdmin calls the admin API and returns the status code and the body.
func callAdmin(t *testing.T, method, url string) (int, string) {
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

// waitFor waits until f is true, and fails the test after 20 s.
func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 20 s:", what)
		}
	}
}

// TestSuspendUnderLoad: a gateway with emulated members is under load while its member list keeps changing. Once the
// admin API has confirmed a suspension, no request reaches the member after the grace time until it is resumed, not
// even across reloads; then it is used again.
func TestSuspendUnderLoad(t *testing.T) {
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
	if on, off := conf.Budget(new(Edge)), gatewayFor(t, c).Budget(new(Edge)); on.DividedSockets+on.SubsystemDescriptors != off.DividedSockets || on.SubsystemDescriptors < 64 {
		t.Errorf("budget %+v with the admin API, %+v without", on, off)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	term, stop := context.WithCancel(t.Context())
	hup, done := make(chan os.Signal), make(chan error, 1)
	go func() {
		done <- Run(term, hup, conf, l, Options{ConfigPath: path, Version: "test", Log: slog.New(slog.DiscardHandler)})
	}()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	waitFor(t, "the admin API is open", func() bool {
		nc, err := net.Dial("tcp", admin)
		if err == nil {
			_ = nc.Close()
		}
		return err == nil
	})
	base := "http://" + admin + "/v1/"
	waitFor(t, "ready", func() bool { code, _ := callAdmin(t, "GET", base+"readyz"); return code == 200 })

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
					q.Class = "field-info" // any replica may serve these, however old its data: a member that was away for long is tried with these
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
		waitFor(t, "requests before the suspension of "+m.ID, func() bool { return took(m) > before+3 })
		for range 2 {
			if code, text := callAdmin(t, "POST", base+"db-machines/"+m.ID+"/suspend"); code != 200 {
				t.Fatal(code, text)
			}
		}
		time.Sleep(250 * time.Millisecond)
		before = took(m)
		for range 12 { // meanwhile the lists and the member's state change at random
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
			t.Errorf("%s was sent %d requests while it was suspended", m.ID, after-before)
		}
		if code, text := callAdmin(t, "POST", base+"db-machines/"+m.ID+"/resume"); code != 200 {
			t.Fatal(code, text)
		}
		waitFor(t, "requests after the suspension of "+m.ID, func() bool { return took(m) > before })
	}
	// All members of a group may be suspended: its requests are refused then, and served once they are resumed.
	all := slices.DeleteFunc(members, func(m *cluster.Member) bool { return m.Group != 1 })
	for _, m := range all {
		callAdmin(t, "POST", base+"db-machines/"+m.ID+"/suspend")
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
		t.Errorf("verdict %v from a group whose members are all suspended", pgclient.Names[v])
	}
	for _, m := range all {
		callAdmin(t, "POST", base+"db-machines/"+m.ID+"/resume")
	}
	n := 0
	waitFor(t, "served again", func() bool { n++; return ask(fmt.Sprint("again", n)) == pgclient.Served })
	for _, want := range []struct {
		method, path string
		code         int
	}{{"POST", "db-machines/nobody/suspend", 404}, {"POST", "db-machines/nobody/resume", 404}, {"GET", "db-machines/" + members[0].ID + "/resume", 405},
		{"POST", "readyz", 405}, {"POST", "db-machines/" + members[0].ID + "/drain", 404}, {"GET", "", 404}, {"POST", "db-machines/" + members[0].ID + "/resume", 200}} {
		if code, text := callAdmin(t, want.method, base+want.path); code != want.code || len(text) < 4 {
			t.Errorf("%s %s: %d %q, want %d", want.method, want.path, code, text, want.code)
		}
	}
}

// TestSuspendWithStalledCore: while the core's goroutine is stalled a suspension fails at its deadline, and is not
// carried out later.
func TestSuspendWithStalledCore(t *testing.T) {
	owner := core.New(core.NewClock(), nil, slog.New(slog.DiscardHandler))
	o := newAdminOperator(adminapi.Config{}, owner, slog.New(slog.DiscardHandler))
	o.suspensions.ApplyList(decide.ListFull, []core.ListedMember{{Member: decide.Member{ID: "m"}}})
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := o.Suspend(short, "m"); !errors.As(err, new(adminapi.NotDoneError)) {
		t.Errorf("suspension with a stalled core: %v, want a NotDoneError", err)
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
	if ids := o.suspensions.Suspended(); len(ids) > 0 {
		t.Errorf("%v are suspended although the call failed", ids)
	}
}

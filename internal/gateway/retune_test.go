package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/internal/activesettings"
	"reachwind/internal/pgwire"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
	"reachwind/internal/standin/pipenet"
)

// tuned is what the test knows of the settings: since when a class has its effect, or is out.
type tuned struct {
	effect string // empty: out
	last   string // the last that it had
	since  time.Time
}

// TestRetune plays a whole gateway in a fake clock, under load and with members in trouble, whose settings change at
// random: classes come, go and change their effect, attempts go up and down, and many files are broken. Each request
// gets its one answer, by the class that it named when it was sent: none is called unknown while its class is in the
// settings or left them a moment ago, and what may run once only does, whatever the settings say later.
func TestRetune(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) { playRetunes(t, seed) })
	}
}

func playRetunes(t *testing.T, seed uint64) {
	pipes := new(pipenet.Net)
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 2, Lag: 20 * time.Millisecond, Work: 8 * time.Millisecond, Net: pipes})
	if err != nil {
		t.Fatal(err)
	}
	start := c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024)
	conf, err := Parse(start, os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	g, err := build(conf, Options{Path: path, Log: slog.New(slog.DiscardHandler), Dial: pipes.Dial})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := pipes.Listen("gateway:0")
	if err != nil {
		t.Fatal(err)
	}
	term, end := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.run(term, nil, listener) }()

	var mu sync.Mutex
	now, served, unknown, twice := map[string]tuned{}, 0, 0, 0
	stop := make(chan struct{})
	var done sync.WaitGroup
	for n := range 6 { // clients
		done.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			var conn *pgclient.Conn
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(r.IntN(30)) * time.Millisecond):
				}
				if conn == nil {
					nc, err := pipes.Dial(t.Context(), listener.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					if conn, err = pgclient.Over(nc, time.Second); err != nil {
						t.Error(err)
						return
					}
				}
				id := fmt.Sprintf("r%d-%d", n, i)
				q := pgclient.Request{ID: id, Class: fmt.Sprint("x", r.IntN(4)), Tenant: "kea-basin", Wait: 800 * time.Millisecond, Key: id, Item: id, Value: "v", Write: true}
				sent := time.Now()
				mu.Lock()
				was := now[q.Class]
				mu.Unlock()
				if was.last != "by_key" { // members drop what comes twice under a key
					q.Key = ""
				}
				a, err := conn.Do(&q)
				if err != nil {
					conn.Close()
					conn = nil
					if !errors.Is(err, pgclient.ErrStale) {
						t.Errorf("request %s: no answer: %v", id, err)
					}
					continue
				}
				mu.Lock()
				is := now[q.Class]
				out := sent.Sub(was.since)
				switch {
				case a.Verdict == pgclient.Served:
					served++
				case a.Code == pgwire.SyntaxError:
					unknown++
				}
				needsKey := q.Key == "" && is.last == "by_key" && was != is // it became so meanwhile
				if a.Code == pgwire.SyntaxError && !needsKey && (was.effect != "" || is.effect != "" || out < activesettings.RemovedClassGrace-time.Millisecond && !was.since.IsZero()) {
					t.Errorf("request %s of class %s is unknown: %+v, now %+v", id, q.Class, was, is)
				}
				if a.Code != pgwire.SyntaxError && was == is && was.effect == "" && out > activesettings.RemovedClassGrace+time.Millisecond {
					t.Errorf("request %s of class %s, out for %v, got %+v", id, q.Class, out, a)
				}
				mu.Unlock()
				if c.Versions(0, id) > 1 {
					mu.Lock()
					twice++
					mu.Unlock()
				}
				if runs := c.Versions(0, id); runs > 1 && was == is && was.effect != "repeatable" && was.effect != "" {
					t.Errorf("request %s of class %s ran %d times", id, q.Class, runs)
				}
			}
		})
	}
	done.Go(func() { // members
		r := rand.New(rand.NewPCG(seed, 100))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(r.IntN(300)) * time.Millisecond):
			}
			c.Members()[r.IntN(3)].Cut()
		}
	})

	r := rand.New(rand.NewPCG(seed, 200))
	good, bad := 0, 0
	for range 60 {
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		text, next := retuned(t, r, start)
		broken := r.IntN(3) == 0
		if broken {
			text = text[:r.IntN(len(text))]
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		before := g.c.terms.Current()
		mu.Lock() // no request may see the settings change in between
		g.reload()
		if took := g.c.terms.Current() != before; took == broken {
			t.Errorf("taken over: %v, broken: %v", took, broken)
		}
		if !broken {
			good++
			for i := range 4 {
				name := fmt.Sprint("x", i)
				if was := now[name]; was.effect != next[name] {
					now[name] = tuned{next[name], cmp.Or(next[name], was.last), time.Now()}
				}
			}
		} else {
			bad++
		}
		mu.Unlock()
	}
	close(stop)
	done.Wait()
	if s := g.sizes(); s.Decide.Requests > 6 || served < 500 || unknown < 100 || twice < 5 || good < 25 || bad < 8 {
		t.Errorf("%+v; %d served, %d unknown, %d ran twice, %d files taken over, %d broken", s, served, unknown, twice, good, bad)
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	c.Close()
}

// retuned is a good file with some of the classes x0 to x3, and their effects.
func retuned(t *testing.T, r *rand.Rand, start []byte) ([]byte, map[string]string) {
	var file map[string]any
	if err := json.Unmarshal(start, &file); err != nil {
		t.Fatal(err)
	}
	conf := file["settings"].(map[string]any)
	conf["Allowed"].(map[string]any)["TryLimit"] = 1 + r.IntN(6)
	info := conf["FamilyInfo"].(map[string]any)
	effects := map[string]string{}
	for i := range 4 {
		if r.IntN(3) == 0 {
			continue
		}
		k := map[string]any{}
		for key, v := range conf["Grades"].([]any)[4].(map[string]any) {
			k[key] = v
		}
		name := fmt.Sprint("x", i)
		effects[name] = []string{"repeatable", "by_key", "once"}[r.IntN(3)]
		k["Name"], k["Effect"], k["DeadlineUs"] = name, effects[name], 1_000_000+r.IntN(2_000_000)
		conf["Grades"] = append(conf["Grades"].([]any), k)
		info["Consistency"] = append(info["Consistency"].([]any), "write")
		info["ClassBoundUs"] = append(info["ClassBoundUs"].([]any), 0)
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return text, effects
}

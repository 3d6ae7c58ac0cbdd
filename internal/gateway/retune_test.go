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

// classState is the state of a class in the settings as the test knows it.
type classState struct {
	effect string    // empty: the class is not in the settings
	last   string    // the last effect that it had
	since  time.Time // of the effect, or of the class's removal
}

// TestReloadsUnderLoad runs a whole gateway on a fake clock, under load and with failing members, while its settings
// change at random: classes are added, removed and change their effect, the limit of attempts changes, and many files
// are truncated. Each request gets one answer, by the class that it named when it was sent. No request is refused for
// an unknown class while its class is in the settings or was removed a moment ago, and a request that may run only once
// does so, whatever the settings say later.
func TestReloadsUnderLoad(t *testing.T) {
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) { runReloads(t, seed) })
	}
}

func runReloads(t *testing.T, seed uint64) {
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
	g, err := build(conf, Options{ConfigPath: path, Log: slog.New(slog.DiscardHandler), Dial: pipes.Dial})
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
	classes, served, unknown, ranTwice := map[string]classState{}, 0, 0, 0
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
				was := classes[q.Class]
				mu.Unlock()
				if was.last != "by_key" { // a key would make members drop repeated writes
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
				is := classes[q.Class]
				out := sent.Sub(was.since)
				switch {
				case a.Verdict == pgclient.Served:
					served++
				case a.Code == pgwire.SyntaxError:
					unknown++
				}
				needsKey := q.Key == "" && is.last == "by_key" && was != is // its class requires a key since a moment ago
				if a.Code == pgwire.SyntaxError && !needsKey && (was.effect != "" || is.effect != "" || out < activesettings.RemovedClassGrace-time.Millisecond && !was.since.IsZero()) {
					t.Errorf("request %s of class %s is unknown: %+v, now %+v", id, q.Class, was, is)
				}
				if a.Code != pgwire.SyntaxError && was == is && was.effect == "" && out > activesettings.RemovedClassGrace+time.Millisecond {
					t.Errorf("request %s of class %s, out for %v, got %+v", id, q.Class, out, a)
				}
				mu.Unlock()
				if c.Versions(0, id) > 1 {
					mu.Lock()
					ranTwice++
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
	accepted, rejected := 0, 0
	for range 60 {
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		text, next := randomSettings(t, r, start)
		broken := r.IntN(3) == 0
		if broken {
			text = text[:r.IntN(len(text))]
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		before := g.config.active.Current()
		mu.Lock() // clients must not read now between the reload and its update
		g.reload(time.Now())
		if took := g.config.active.Current() != before; took == broken {
			t.Errorf("taken over: %v, broken: %v", took, broken)
		}
		if !broken {
			accepted++
			for i := range 4 {
				name := fmt.Sprint("x", i)
				if was := classes[name]; was.effect != next[name] {
					classes[name] = classState{next[name], cmp.Or(next[name], was.last), time.Now()}
				}
			}
		} else {
			rejected++
		}
		mu.Unlock()
	}
	close(stop)
	done.Wait()
	if s := g.sizes(); s.Decide.Requests > 6 || served < 500 || unknown < 100 || ranTwice < 5 || accepted < 25 || rejected < 8 {
		t.Errorf("%+v; %d served, %d unknown, %d ran twice, %d files taken over, %d broken", s, served, unknown, ranTwice, accepted, rejected)
	}
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	c.Close()
}

// randomSettings returns a valid file with a random selection of the classes x0 to x3, and their effects.
func randomSettings(t *testing.T, r *rand.Rand, start []byte) ([]byte, map[string]string) {
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
		class := map[string]any{}
		for key, v := range conf["Grades"].([]any)[4].(map[string]any) {
			class[key] = v
		}
		name := fmt.Sprint("x", i)
		effects[name] = []string{"repeatable", "by_key", "once"}[r.IntN(3)]
		class["Name"], class["Effect"], class["DeadlineUs"] = name, effects[name], 1_000_000+r.IntN(2_000_000)
		conf["Grades"] = append(conf["Grades"].([]any), class)
		info["Consistency"] = append(info["Consistency"].([]any), "write")
		info["ClassBoundUs"] = append(info["ClassBoundUs"].([]any), 0)
	}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return text, effects
}

package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pipenet"
)

// pacedConn is a connection from which each read returns pace bytes at most, after a pause. It stands still once limit
// bytes were read, unless limit is 0.
type pacedConn struct {
	net.Conn
	pace, limit int
	pause       time.Duration
	read        int
}

func (c *pacedConn) Read(p []byte) (int, error) {
	if c.limit > 0 && c.read >= c.limit {
		p = p[:0]
		time.Sleep(time.Second)
	}
	if len(p) > c.pace { // short messages come at once
		time.Sleep(c.pause)
		p = p[:c.pace]
	}
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// changeMembers has discovery tell that all members drain, are gone, and have come back under another address and start time.
func changeMembers(g *instance, c *cluster.Cluster) {
	for _, state := range []decide.MemberState{decide.Draining, decide.Removed, decide.Up} {
		var list []core.ListedMember
		for _, m := range c.Members() {
			list = append(list, core.ListedMember{Addr: "elsewhere:1", Member: decide.Member{ID: m.ID, Zone: m.Zone, State: state, Started: g.core.Now()}})
		}
		g.core.List(decide.ListChange, list)
		time.Sleep(time.Second)
	}
}

// TestStreamedAnswerAtShutdown guards against cutting off an answer that is streamed when the process is told to end, also
// while its member hangs, and against a process that ends later than before where nothing is streamed, or never where nothing moves.
func TestStreamedAnswerAtShutdown(t *testing.T) {
	const (
		pace  = 16 << 10
		limit = 200 << 10
		pause = 100 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		client, member pacedConn
		memberHangs    time.Duration // once, after limit bytes
		listChanges    bool          // and a reload come while the member hangs
		valueBytes     int
		whole          bool
		from, to       time.Duration // when the process ends, from SIGTERM on
	}{
		"slow member":         {member: pacedConn{pace: pace, pause: pause}, valueBytes: 1 << 20, whole: true, from: 5 * time.Second, to: 7 * time.Second},
		"slow client":         {client: pacedConn{pace: pace, pause: pause}, valueBytes: 1 << 20, whole: true, from: 5 * time.Second, to: 7 * time.Second},
		"slow, largest value": {client: pacedConn{pace: pace, pause: pause}, valueBytes: 4 << 20, whole: true, from: 24 * time.Second, to: 27 * time.Second},
		"client stands still": {client: pacedConn{pace: pace, pause: pause, limit: limit}, valueBytes: 1 << 20, from: 29 * time.Second, to: 32 * time.Second},
		"member hangs":        {memberHangs: 25 * time.Second, valueBytes: 1 << 20, whole: true, from: 24 * time.Second, to: 26 * time.Second},
		"member hangs, drains and is listed anew": {memberHangs: 25 * time.Second, listChanges: true, valueBytes: 1 << 20, whole: true,
			from: 20 * time.Second, to: 26 * time.Second},
		"member stands still": {memberHangs: time.Hour, valueBytes: 1 << 20, from: 119 * time.Second, to: 121 * time.Second},
		"slow, buffered":      {client: pacedConn{pace: 2 << 10, pause: 185 * time.Millisecond}, valueBytes: 60 << 10, whole: true, from: 3700 * time.Millisecond, to: 6 * time.Second},
		"no stream":           {valueBytes: 100, whole: true, to: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipes := new(pipenet.Net)
				c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 1, Net: pipes, PauseAfter: limit, PauseFor: tc.memberHangs})
				if err != nil {
					t.Fatal(err)
				}
				c.Put(0, "big", strings.Repeat("v", tc.valueBytes))
				conf, err := Parse(configWith(t, c, "repeatable", 3*time.Second), func(string) string { return "" })
				if err != nil {
					t.Fatal(err)
				}
				dial := func(ctx context.Context, addr string) (net.Conn, error) {
					nc, err := pipes.Dial(ctx, addr)
					if err != nil || tc.member.pace == 0 || addr == conf.Discovery {
						return nc, err
					}
					paced := tc.member
					paced.Conn = nc
					return &paced, nil
				}
				path := filepath.Join(t.TempDir(), "config.json")
				if err := os.WriteFile(path, configWith(t, c, "repeatable", 3*time.Second), 0o600); err != nil {
					t.Fatal(err)
				}
				var log strings.Builder
				g, err := build(conf, Options{ConfigPath: path, Version: "test", Log: slog.New(slog.NewTextHandler(&log, nil)), Dial: dial})
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
				time.Sleep(5 * time.Second)
				nc, err := pipes.Dial(t.Context(), listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				received := make(chan string, 1)
				go func() {
					reader := tc.client
					reader.Conn = nc
					if reader.pace == 0 {
						reader.pace = 1 << 30
					}
					types, err := readMessages(&reader)
					received <- fmt.Sprint(types, err)
				}()
				question := "/* id=1,c=my-notes,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'big'\x00"
				if _, err := nc.Write(pgwire.Append(pgwire.AppendStartup(nil, "app", "shop"), 'Q', question)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				if tc.listChanges {
					changeMembers(g, c)
					g.reload(time.Now())
				}
				termAt := time.Now()
				end()
				if err := <-ended; err != nil {
					t.Error(err)
				}
				if took := time.Since(termAt); took < tc.from || took > tc.to {
					t.Errorf("ended after %v, want %v to %v", took, tc.from, tc.to)
				}
				_ = nc.Close() // as the process's exit would do
				if got := <-received; strings.Contains(got, "TDCZ") != tc.whole {
					t.Errorf("received messages %.200q, whole %v wanted", got, tc.whole)
				}
				if tc.listChanges && !strings.Contains(log.String(), "msg=reloaded") {
					t.Error("the configuration was not reloaded: ", log.String())
				}
				c.Close()
			})
		})
	}
}

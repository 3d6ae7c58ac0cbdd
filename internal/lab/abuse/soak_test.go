package abuse

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/upgrade"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
)

const (
	soakClients     = 16
	soakMemoryMB    = 64 // of the gateways that package upgrade starts
	earliestKill    = 3*time.Second + 700*time.Millisecond
	lastConnections = 400 * time.Millisecond // after SIGTERM, without a successor
)

// soakRun is one run of the soak. Its clients keep using their connections until the process has ended.
type soakRun struct {
	seed     uint64
	cluster  *cluster.Cluster
	addr     string
	handover bool

	mu       sync.Mutex
	termAt   time.Time // zero: no SIGTERM yet, or a successor serves
	asked    int
	served   int
	failures []string
	crossed  map[string]bool // keys of writes that were sent on a connection that ended unread
}

func (s *soakRun) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// mayBeClosed reports whether a new connection may be refused as the process ends.
func (s *soakRun) mayBeClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.termAt.IsZero() && time.Since(s.termAt) > lastConnections
}

// client sends reads and keyed writes until stop is closed, or new connections are refused.
func (s *soakRun) client(me int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(me)))
	var conn *pgclient.Conn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(80)) * time.Millisecond):
		}
		q := &pgclient.Request{ID: fmt.Sprintf("soak%d-%d-%d", s.seed, me, n), Class: "field-info", Tenant: "kea-basin", Wait: time.Duration(300+rng.IntN(2200)) * time.Millisecond, Item: "hut"}
		if rng.IntN(3) == 0 {
			q.Class, q.Key, q.Value, q.Write = "map-edits", q.ID, "v", true
		}
		was := conn != nil
		if conn == nil {
			var err error
			if conn, err = pgclient.Dial(s.addr, 4*time.Second); err != nil {
				conn = nil
				if errors.Is(err, pgclient.ErrRefused) {
					continue
				}
				if s.mayBeClosed() {
					return
				}
				s.fail("%s: no connection: %v", q.ID, err)
				continue
			}
		}
		began := time.Now()
		answer, err := conn.DoWithin(q, q.Wait+lateAnswerWait)
		s.mu.Lock()
		s.asked++
		if err == nil && answer.Verdict == pgclient.Served {
			s.served++
		}
		s.mu.Unlock()
		if err == nil {
			continue
		}
		conn.Close()
		conn = nil
		switch {
		case errors.Is(err, pgclient.ErrStale) && (was || s.mayBeClosed()):
			if q.Write {
				s.mu.Lock()
				s.crossed[q.Key] = true
				s.mu.Unlock()
			}
		default:
			s.fail("%s of %v, on a used connection %v, failed after %v: %v", q.ID, q.Wait, was, time.Since(began).Round(time.Millisecond), err)
		}
	}
}

// TestSoakOfAbuseAndSignals guards against requests that are lost, run twice or answered late, and against processes that end too
// late or hold too much, while clients abuse a gateway and signals come in series.
func TestSoakOfAbuseAndSignals(t *testing.T) {
	first, seeds := envInt("SOAK_FIRST", 1), envInt("SOAK_SEEDS", 6)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if seeds <= 6 {
				t.Parallel()
			}
			soak(t, uint64(seed))
		})
	}
}

func soak(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 49))
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 3, Work: time.Duration(5+rng.IntN(60)) * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Seed(0, largeItem, strings.Repeat("m", largeStatement))
	c.Seed(0, streamedItem, strings.Repeat("t", streamedValue))
	platform, err := upgrade.New(program, t.TempDir(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	serving, err := platform.Start()
	if err != nil {
		t.Fatal(err)
	}
	processes := []*proc.Gateway{serving}
	defer func() {
		for _, g := range processes {
			g.Kill()
		}
	}()
	s := &soakRun{seed: seed, cluster: c, addr: platform.Addr, handover: rng.IntN(2) == 0, crossed: map[string]bool{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { s.client(i, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	all := kindsOf(postgresFront)
	kind := all[rng.IntN(len(all))]
	abusers := 2 + rng.IntN(12)
	if rng.IntN(4) == 0 { // a crowd
		abusers = 150
	}
	stopAbusers := startProcess(t, postgresFront+", "+kind.Name, platform.Addr, abusers)
	for range 1 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		serving.Signal(syscall.SIGHUP)
	}
	var former *proc.Gateway
	if s.handover {
		former = serving
		if serving, err = platform.Start(); err != nil {
			t.Fatal(err)
		}
		processes = append(processes, serving)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		endGateway(t, rng, former, soakMemoryMB)
	}
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	platform.Close() // what follows is the gateway's own end: nobody holds its socket
	s.mu.Lock()
	s.termAt = time.Now()
	s.mu.Unlock()
	endGateway(t, rng, serving, soakMemoryMB)
	close(stop)
	stopAbusers()
	clients.Wait()
	for key := range s.crossed {
		if c.Runs(0, key) > 0 {
			s.fail("%s ran and was not answered", key)
		}
	}
	t.Logf("%q by %d, hand-over %v: %d requests, %d served, %d writes crossed the end of a connection", kind.Name, abusers, s.handover, s.asked, s.served, len(s.crossed))
	for _, failure := range s.failures {
		t.Error(failure)
	}
	if len(s.failures) > 0 {
		for _, g := range processes {
			t.Log(g.Log())
		}
	}
}

// endGateway sends SIGTERM, perhaps with other signals, and SIGKILL as early as the platform may.
func endGateway(t *testing.T, rng *rand.Rand, g *proc.Gateway, memoryMB int) {
	t.Helper()
	peak, err := g.PeakMemory()
	if err != nil || peak > memoryMB<<20 {
		t.Errorf("the process held %d MB: %v", peak>>20, err)
	}
	kill := time.NewTimer(earliestKill)
	g.Signal(syscall.SIGTERM)
	for range rng.IntN(3) {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		g.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(2)])
	}
	select {
	case <-g.Ended():
	case <-kill.C:
		g.Kill()
		t.Errorf("the process had not ended by the earliest time of SIGKILL\n%s", g.Log())
	}
	if strings.Contains(g.Log(), "panic:") {
		t.Errorf("the process crashed\n%s", g.Log())
	}
}

// Package upgrade is a stand-in of the platform where a gateway's process is replaced in service: it holds the
// listening socket and the folder, starts a process beside the one that serves, and ends that one. Its clients judge:
// who connects is never refused, who asks is always answered, and no session's read misses a write that was answered.
package upgrade

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"reachwind/internal/lab/proc"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
)

// Platform holds what outlives a process.
type Platform struct {
	Cluster *cluster.Cluster
	Binary  string
	Dir     string // TMPDIR of all processes, and their configuration
	Addr    string // of clients
	Torn    bool   // the configuration of the next process ends halfway

	socket *os.File
	l      *net.TCPListener
	n      int
}

// New opens the socket; dir holds the files, and whoever made it removes it.
func New(binary, dir string, c *cluster.Cluster) (*Platform, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	f, err := l.File()
	if err != nil {
		return nil, err
	}
	return &Platform{Cluster: c, Binary: binary, Dir: dir, Addr: l.Addr().String(), socket: f, l: l}, nil
}

// Close lets go of the socket.
func (p *Platform) Close() {
	_ = p.socket.Close()
	_ = p.l.Close()
}

// Start starts one more process and waits until it says that it serves. Its admin address is new each time.
func (p *Platform) Start() (*proc.Gateway, error) { return p.start("msg=serving") }

// Begin starts one more process and waits for nothing.
func (p *Platform) Begin() (*proc.Gateway, error) { return p.start("") }

func (p *Platform) start(ready string) (*proc.Gateway, error) {
	p.n++
	conf := p.Cluster.GatewayConfig("n1", p.Addr, 64, 384)
	if p.Torn {
		conf = conf[:len(conf)/2]
	}
	path := filepath.Join(p.Dir, fmt.Sprintf("config-%d.json", p.n))
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return nil, err
	}
	none, err := os.Open(os.DevNull)
	if err != nil {
		return nil, err
	}
	defer func() { _ = none.Close() }()
	return proc.With(p.Binary, []string{"serve", "--config", path}, ready,
		[]string{"TMPDIR=" + p.Dir, "NODE_SOCKET_FD=5", "NODE_ADMIN_ADDR=127.0.0.1:0"}, []*os.File{none, none, p.socket})
}

// End tells a process to stop, and ends it where it does not in time.
func End(g *proc.Gateway) error {
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.Ended():
		return nil
	case <-time.After(3700 * time.Millisecond):
		g.Kill()
		return errors.New("it did not end within the longest deadline and 0.7 s")
	}
}

// Faults are what clients saw that must never be.
type Faults struct {
	mu                                 sync.Mutex
	Asked, Served, Crossed             int // Crossed: asked on a connection that the gateway had just closed
	Refused, Broken, Unanswered, Stale []string
	Codes                              map[string]int // of answers that served nothing
}

func (f *Faults) note(list *[]string, format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(*list) < 10 {
		*list = append(*list, fmt.Sprintf(format, a...))
	}
}

// Err tells whether anything was seen that must never be.
func (f *Faults) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for what, list := range map[string][]string{"refused connections": f.Refused, "broken connections": f.Broken, "unanswered": f.Unanswered, "stale": f.Stale} {
		if len(list) > 0 {
			return fmt.Errorf("%s: %q", what, list)
		}
	}
	return nil
}

// Clients dial and ask without end, until stop is closed. Each has a session: it writes a number and reads it back
// over another connection, and draws whether it keeps a connection, or takes a new one.
func (p *Platform) Clients(n int, seed uint64, stop <-chan struct{}) *Faults {
	f := &Faults{Codes: map[string]int{}}
	var done sync.WaitGroup
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			p.client(i, seed, f, stop)
		}()
	}
	done.Wait()
	return f
}

func (p *Platform) client(me int, seed uint64, f *Faults, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, uint64(me)))
	var kept [2]*pgclient.Conn
	defer func() {
		for _, c := range kept {
			if c != nil {
				c.Close()
			}
		}
	}()
	item, last := fmt.Sprintf("s-%d-%x-%d", os.Getpid(), seed, me), 0
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(15)) * time.Millisecond):
		}
		q := pgclient.Request{ID: fmt.Sprintf("%s-%d", item, n), Class: "my-notes", Tenant: "kea-basin", Wait: 1500 * time.Millisecond, Item: item}
		if rng.IntN(3) == 0 {
			q.Class, q.Write, q.Key, q.Wait, q.Value = "map-edits", true, q.ID, 3*time.Second, strconv.Itoa(n)
		}
		a, ok := p.ask(&kept[rng.IntN(2)], &q, rng.IntN(4) == 0, f, stop)
		switch {
		case !ok || a.Verdict != pgclient.Served:
		case q.Write:
			last = n
		default:
			if got, err := strconv.Atoi(a.Value); last > 0 && (err != nil || got < last) {
				f.note(&f.Stale, "%s: read %q after %d was written", q.ID, a.Value, last)
			}
		}
	}
}

// ask asks on a connection that is kept, or on a new one.
func (p *Platform) ask(kept **pgclient.Conn, q *pgclient.Request, fresh bool, f *Faults, stop <-chan struct{}) (a pgclient.Answer, ok bool) {
	for range 3 {
		c := *kept
		if c != nil && fresh {
			c.Close()
			c = nil
		}
		used := c != nil
		if c == nil {
			var err error
			if c, err = pgclient.Dial(p.Addr, 4*time.Second); err != nil {
				f.note(&f.Refused, "%s: %v", q.ID, err)
				*kept = nil
				return a, false
			}
		}
		*kept = c
		a, err := c.Do(q)
		f.mu.Lock()
		f.Asked++
		f.mu.Unlock()
		if err == nil {
			f.mu.Lock()
			if a.Verdict == pgclient.Served {
				f.Served++
			} else {
				f.Codes[a.Code]++
			}
			f.mu.Unlock()
			return a, true
		}
		c.Close()
		*kept = nil
		switch {
		case used && errors.Is(err, pgclient.ErrStale):
			f.mu.Lock()
			f.Crossed++
			f.mu.Unlock()
			continue
		default:
			f.note(&f.Broken, "%s on a %s connection: %v", q.ID, map[bool]string{true: "used", false: "new"}[used], err)
		}
		return a, false
	}
	f.note(&f.Unanswered, "%s", q.ID)
	return a, false
}

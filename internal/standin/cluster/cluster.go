// Package cluster is a stand-in of a replicated store as the protocol page has it:
// groups of a primary and replicas that speak PostgreSQL, with log positions, lag
// and limits of their own, and a discovery service that lists them. Rows are kept
// in memory. It can be told to fail. It is no database.
package cluster

import (
	"errors"
	"fmt"
	"net"
	"sort"
	"sync"
	"syscall"
	"time"

	"reachwind/internal/standin/pipenet"
)

// Config is what a cluster is made of.
type Config struct {
	Groups     int
	Replicas   int           // in each group, beside the primary
	Lag        time.Duration // by which replicas are behind
	Work       time.Duration // that a statement takes, by the clock: a member has Slots at once
	Slots      int
	Piece      int // bytes of an answer that a member writes at once, with PiecePause before the next ones; 0 = all
	PiecePause time.Duration
	PauseAfter int           // bytes of an answer after which a member pauses once for PauseFor, and goes on; 0 = it does not
	PauseFor   time.Duration // until the cluster is closed, if that is sooner
	Zones      []string      // of members, in turn by their place in the group; empty: all in "a"
	Host       string        // loopback address, 127.0.0.1 if empty
	Ports      int           // the first port, 0 = any
	Elect      time.Duration // after which a replica takes over from a primary that is down or hangs; 0 = never
	Net        *pipenet.Net  // a network in memory; nil: TCP
}

// Cluster is a running stand-in.
type Cluster struct {
	conf Config

	mu         sync.Mutex
	groups     []*group
	members    map[string]*Member
	generation int64
	changed    chan struct{} // closed and made anew with each change of the list
	discovery  net.Listener
	done       sync.WaitGroup
	closed     bool
	ended      chan struct{} // closed by Close
}

// group is the rows that its members hold in common.
type group struct {
	id   int64
	rows map[string][]version
	ids  []string // sorted
	keys map[string]keyed
	runs map[string]int // how often each keyed write has run, kept for those who check
}

type version struct {
	at    int64 // log position, Unix time in ms
	value string
}

type keyed struct {
	at    time.Time
	value string
	lsn   int64
}

const keyWindow = 2 * time.Second

// Member is one database machine.
type Member struct {
	ID    string
	Zone  string
	Group int64
	Addr  string

	c       *Cluster
	g       *group
	l       net.Listener
	conns   map[net.Conn]bool
	slots   chan struct{}
	primary bool
	since   time.Time // it has been down or hanging
	up      bool
	hang    bool
	drain   bool
	gone    bool
	lag     time.Duration
	high    int64 // the highest position it was at
	frozen  int64 // position that it stands at while cut off from the log, 0 = it follows
	started int64

	took int

	Served, Probes, Refused int
}

// Start starts a cluster with its discovery.
func Start(conf Config) (*Cluster, error) {
	if conf.Host == "" {
		conf.Host = "127.0.0.1"
	}
	if conf.Slots == 0 {
		conf.Slots = 64
	}
	c := &Cluster{conf: conf, members: map[string]*Member{}, changed: make(chan struct{}), ended: make(chan struct{}), generation: 1}
	port := func(i int) string {
		if conf.Ports == 0 {
			return net.JoinHostPort(conf.Host, "0")
		}
		return net.JoinHostPort(conf.Host, fmt.Sprint(conf.Ports+i))
	}
	var err error
	if c.discovery, err = c.listen(port(0)); err != nil {
		return nil, err
	}
	n := 0
	for g := range conf.Groups {
		gr := &group{id: int64(g), rows: map[string][]version{}, keys: map[string]keyed{}, runs: map[string]int{}}
		c.groups = append(c.groups, gr)
		for r := range conf.Replicas + 1 {
			n++
			m, err := c.add(gr, fmt.Sprintf("m-%d-%d", g, r), port(n), r == 0)
			if err != nil {
				c.Close()
				return nil, err
			}
			if len(conf.Zones) > 0 {
				m.Zone = conf.Zones[(g+r)%len(conf.Zones)]
			}
		}
	}
	c.done.Add(1)
	go c.serveDiscovery()
	if conf.Elect > 0 {
		c.done.Add(1)
		go c.elect()
	}
	return c, nil
}

func (c *Cluster) listen(addr string) (net.Listener, error) {
	if c.conf.Net != nil {
		return c.conf.Net.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

// add makes a member and has it listen.
func (c *Cluster) add(g *group, id, addr string, primary bool) (*Member, error) {
	m := &Member{ID: id, Zone: "a", Group: g.id, Addr: addr, c: c, g: g, primary: primary, lag: c.conf.Lag,
		conns: map[net.Conn]bool{}, slots: make(chan struct{}, c.conf.Slots)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id] = m
	return m, m.listenLocked()
}

// Grow adds a replica that has just started to a group, or a primary to a new group where none has this number.
func (c *Cluster) Grow(id int64, name string) (*Member, error) {
	c.mu.Lock()
	var g *group
	for _, o := range c.groups {
		if o.id == id {
			g = o
		}
	}
	fresh := g == nil
	if fresh {
		g = &group{id: id, rows: map[string][]version{}, keys: map[string]keyed{}, runs: map[string]int{}}
		c.groups = append(c.groups, g)
	}
	c.mu.Unlock()
	m, err := c.add(g, name, net.JoinHostPort(c.conf.Host, "0"), fresh)
	c.mu.Lock()
	defer c.mu.Unlock()
	m.started = time.Now().UnixMilli()
	c.change()
	return m, err
}

// Leave ends a member for good: the list names it no more.
func (m *Member) Leave() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.stop()
	m.gone = true
	delete(m.c.members, m.ID)
	m.c.change()
}

// Discovery is the address of the list.
func (c *Cluster) Discovery() string { return c.discovery.Addr().String() }

// Members are all members, by id.
func (c *Cluster) Members() []*Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*Member
	for _, m := range c.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Took is how many requests and probes have reached a member.
func (c *Cluster) Took(m *Member) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.took
}

// Primary is a group's primary, nil without one.
func (c *Cluster) Primary(group int64) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.Group == group && m.primary && !m.gone {
			return m
		}
	}
	return nil
}

// Runs tells how often a keyed write has run.
func (c *Cluster) Runs(group int64, key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[group].runs[key]
}

// Versions tells how often a row was written, in the last minute.
func (c *Cluster) Versions(group int64, id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.groups[group].rows[id])
}

// Put writes a row behind the back of everyone, for tests that need some.
func (c *Cluster) Put(group int64, id, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[group].put(id, value, time.Now().UnixMilli())
}

// Seed writes a row that has been there for long: every member holds it.
func (c *Cluster) Seed(group int64, id, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[group].put(id, value, 1)
}

func (g *group) put(id, value string, at int64) {
	v := g.rows[id]
	if len(v) == 0 {
		i := sort.SearchStrings(g.ids, id)
		g.ids = append(g.ids, "")
		copy(g.ids[i+1:], g.ids[i:])
		g.ids[i] = id
	}
	for len(v) > 1 && v[1].at < at-60_000 { // nobody is behind that far
		v = v[1:]
	}
	g.rows[id] = append(v, version{at, value})
}

// get is a row as of a position.
func (g *group) get(id string, at int64) (string, bool) {
	v := g.rows[id]
	for i := len(v) - 1; i >= 0; i-- {
		if v[i].at <= at {
			return v[i].value, true
		}
	}
	return "", false
}

// change makes the list new. The caller holds the lock.
func (c *Cluster) change() {
	c.generation++
	close(c.changed)
	c.changed = make(chan struct{})
}

// Kill ends a member's process: its connections are reset and new ones refused.
func (m *Member) Kill() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.stop()
}

func (m *Member) stop() {
	if !m.up {
		return
	}
	m.up, m.since = false, time.Now()
	_ = m.l.Close()
	m.cut()
}

// Cut breaks a member's connections; what they carried runs on, and nobody hears of it.
func (m *Member) Cut() {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.cut()
}

func (m *Member) cut() {
	for nc := range m.conns {
		if t, ok := nc.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// portWait is how long a member that comes back waits for its port, which a connection of another process may use meanwhile.
const portWait = 5 * time.Second

// Restart starts a member's process again, as a replica if another took over.
func (m *Member) Restart() error {
	for until := time.Now().Add(portWait); ; time.Sleep(20 * time.Millisecond) {
		if err := m.restart(); !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return err
		}
	}
}

func (m *Member) restart() error {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.up {
		return nil
	}
	if err := m.listenLocked(); err != nil {
		return err
	}
	m.started = time.Now().UnixMilli()
	m.c.change()
	return nil
}

// Hang has a member take requests and answer none.
func (m *Member) Hang(yes bool) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.hang, m.since = yes, time.Now()
}

// Drain lists a member as draining, or as ready again.
func (m *Member) Drain(yes bool) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.drain = yes
	m.c.change()
}

// SetLag changes by how much a replica is behind.
func (m *Member) SetLag(d time.Duration) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.lag = d
}

// Freeze cuts a replica off from the log, or lets it catch up.
func (m *Member) Freeze(yes bool) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.frozen = 0
	if yes {
		m.frozen = m.position()
	}
}

// IsPrimary tells a member's role.
func (m *Member) IsPrimary() bool {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	return m.primary
}

// position is up to where a member has applied the log; it never goes back. The caller holds the lock.
func (m *Member) position() int64 {
	at := time.Now().UnixMilli()
	switch {
	case m.primary:
	case m.frozen > 0:
		at = m.frozen
	default:
		at -= m.lag.Milliseconds()
	}
	m.high = max(m.high, at)
	return m.high
}

// elect has replicas take over from primaries that are down or hang.
func (c *Cluster) elect() {
	defer c.done.Done()
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return
		}
		for _, m := range c.members {
			if m.primary && (!m.up || m.hang) && time.Since(m.since) > c.conf.Elect {
				for _, o := range c.members {
					if o.Group == m.Group && !o.primary && o.up && !o.hang {
						m.primary, o.primary, o.frozen = false, true, 0
						c.change()
						break
					}
				}
			}
		}
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// Close ends all of it.
func (c *Cluster) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.ended)
	}
	if c.discovery != nil {
		_ = c.discovery.Close()
	}
	for _, m := range c.members {
		m.stop()
	}
	c.change()
	c.mu.Unlock()
	c.done.Wait()
}

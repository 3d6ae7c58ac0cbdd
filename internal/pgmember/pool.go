// Package pgmember is the members' side of the gateway for members that speak
// PostgreSQL: their connections, attempts and probes. The pool's records
// belong to the core's owner goroutine; each connection has a goroutine of its
// own, told by its mailbox and heard through the core's queue.
package pgmember

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/logthrottle"
	"reachwind/internal/pgwire"
)

// Config holds what the pool is told.
type Config struct {
	User, Database    string
	MaxConns          int           // connections to all members together
	MemberIdleTimeout time.Duration // members close connections idle for so long
	ConnectTimeout    time.Duration // a connection not up by then has failed
	DrainGrace        time.Duration // sends to a draining member must end within it
	KeepDelisted      bool          // a member that leaves the list without draining may still be used
	ReservedBuffers   int           // buffers left to others when answers that pass through take the rest
	ReportFigures     []string      // what a load report holds, as the settings name it
}

const (
	idlePart    = 0.8 // of Idle after which the pool closes a connection, so that no request crosses the member's close
	gracePart   = 0.6 // of Grace after which nothing more is written
	sweepEvery  = time.Second
	membersMost = 2 * decide.MaxMembers // kept in all, those that left the list and still have connections among them
	boundMargin = 2 * time.Millisecond  // data ages until the last byte is out
)

// Pool keeps the connections to all members.
type Pool struct {
	core    *core.Core
	log     *slog.Logger
	conf    atomic.Pointer[Config] // connections read it on their own goroutines; its Max and Keep count at the start only
	most    int                    // connections
	keep    int                    // see Config.Keep
	bufs    *pgwire.Pool
	dial    Dialer
	members map[string]*member
	open    int // connections, those being made included
	jobs    map[*core.Attempt]*job
	stamps  atomic.Bool // some member has told a log position

	spoilt, cut, failing, short, cutList logthrottle.Line

	beforeWrite func(*job) // a seam for tests: called where a job is about to be written
}

// member is what the pool knows of one member.
type member struct {
	id, addr string
	unwanted core.Time // told so then; 0 = wanted
	left     bool      // out of the list
	idle     []*conn   // the most recently used last
	busy     []*conn
	waiting  []*job
	making   int // connections being made
	room     int // connections to other members that end so that one to this may be made
}

// job is an attempt or a probe.
type job struct {
	m       *member
	attempt *core.Attempt // nil for a probe
	c       *conn         // that carries it, nil while it waits
	off     atomic.Bool   // stopped: it must not be written any more
}

// over tells that no byte of the job may be written any more. It may be called from any goroutine.
func (j *job) over() bool { return j.off.Load() || j.attempt != nil && j.attempt.Request.Closed() }

// New returns a pool that reports to c.
func New(c *core.Core, conf Config, bufs *pgwire.Pool, dial Dialer, log *slog.Logger) *Pool {
	p := &Pool{core: c, log: log, bufs: bufs, dial: dial, most: conf.MaxConns, keep: conf.ReservedBuffers,
		members: map[string]*member{}, jobs: map[*core.Attempt]*job{}}
	p.conf.Store(&conf)
	c.Post(p.sweep)
	return p
}

// Reconfigure takes another configuration from now on, but for its Max, see Limit, and Keep. It is the owner's to call. Connections
// and jobs that are open keep the waits that they began with.
func (p *Pool) Reconfigure(conf Config) { p.conf.Store(&conf) }

// Sizes are the lengths of the pool's tables.
type Sizes struct{ Members, Connections, Jobs int }

// Sizes tells how long the tables are. It is the owner's to call.
func (p *Pool) Sizes() Sizes { return Sizes{len(p.members), p.open, len(p.jobs)} }

// SetMaxConns has the pool hold so many connections at most from now on; idle ones above that are closed. It is the owner's
// to call.
func (p *Pool) SetMaxConns(most int) {
	p.most = most
	for n := p.open - most; n > 0 && p.evict(nil); n-- {
	}
}

// List takes addresses and who is wanted.
func (p *Pool) List(kind decide.EventKind, list []core.ListedMember) {
	named := map[string]bool{}
	for _, l := range list {
		named[l.ID] = true
		m := p.members[l.ID]
		if m == nil {
			if l.State == decide.Removed {
				continue
			}
			if len(p.members) >= decide.MaxMembers {
				p.cutList.Warn(p.log, "list of members is too long, the rest is not used", "kept", len(p.members), "member", l.ID)
			}
			if len(p.members) >= membersMost {
				continue
			}
			m = &member{id: l.ID}
			p.members[l.ID] = m
		}
		if m.addr != l.Addr {
			m.addr = l.Addr
			p.closeIdle(m, 0)
		}
		m.left = l.State == decide.Removed
		p.want(m, l.State == decide.Up || m.left && p.conf.Load().KeepDelisted)
	}
	if kind == decide.ListChange || p.conf.Load().KeepDelisted {
		return
	}
	for id, m := range p.members {
		if !named[id] {
			m.left = true
			p.want(m, false)
		}
	}
}

// want notes whether a member may get new work. What still waits for a
// connection to one that may not is not sent; what a connection has been given
// but not begun to write must begin within the grace time.
func (p *Pool) want(m *member, yes bool) {
	if yes {
		m.unwanted = 0
	} else if m.unwanted == 0 {
		m.unwanted = p.core.Now()
		p.closeIdle(m, 0)
		for len(m.waiting) > 0 {
			p.finish(m.waiting[0], core.Outcome{Result: decide.NotSent})
		}
	}
	for _, c := range m.busy {
		c.limit(p.sendBy(m))
	}
}

// sendBy is until when m may be written to, 0 = always.
func (p *Pool) sendBy(m *member) core.Time {
	if m.unwanted == 0 {
		return 0
	}
	return m.unwanted + core.Time(gracePart*float64(p.conf.Load().DrainGrace))
}

// Send starts an attempt.
func (p *Pool) Send(a *core.Attempt) {
	m := p.members[a.Member]
	j := &job{m: m, attempt: a}
	if m == nil {
		p.core.Done(a, core.Outcome{Result: decide.NotSent})
		return
	}
	p.jobs[a] = j
	p.start(j)
}

// Probe asks a member for its report.
func (p *Pool) Probe(id string) {
	m := p.members[id]
	if m == nil {
		p.core.Probed(id, decide.NotSent, decide.Report{})
		return
	}
	j := &job{m: m}
	p.core.RunAt(p.core.Now()+p.conf.Load().ConnectTimeout, func() { p.stop(j, decide.TimedOut) })
	p.start(j)
}

// Stop gives up an attempt.
func (p *Pool) Stop(a *core.Attempt, why decide.Result) {
	if j := p.jobs[a]; j != nil {
		p.stop(j, why)
	}
}

// stop gives up a job. Where its connection has just ended without writing it, the job comes back and is not begun anew.
func (p *Pool) stop(j *job, why decide.Result) {
	j.off.Store(true)
	switch {
	case j.c != nil:
		j.c.withdraw(j)
		if why != decide.NotSent {
			j.c.Post(order{job: j, stop: true, why: why})
		}
	case slices.Contains(j.m.waiting, j): // no byte of it was written
		p.finish(j, core.Outcome{Result: decide.NotSent})
	}
}

// start gives a job the connection used last, or has it wait for a new one.
func (p *Pool) start(j *job) {
	m := j.m
	if m.unwanted != 0 || j.over() {
		p.finish(j, core.Outcome{Result: decide.NotSent})
		return
	}
	for n := len(m.idle); n > 0; n-- {
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		m.busy = append(m.busy, c)
		j.c = c
		c.limit(0)
		if c.Post(order{job: j}) {
			return
		}
		j.c = nil // it has just ended; what became of it follows in the queue
	}
	m.waiting = append(m.waiting, j)
	p.make(m)
}

// make opens connections for the jobs that wait, within the limit of descriptors.
func (p *Pool) make(m *member) {
	for m.making+m.room < len(m.waiting) {
		if p.open >= p.most { // the descriptor is another's until that one has ended
			if !p.evict(m) {
				p.short.Warn(p.log, "out of member connections", "open", p.open, "member", m.id)
				p.finish(m.waiting[len(m.waiting)-1], core.Outcome{Result: decide.NotSent})
			}
			continue
		}
		m.making++
		p.open++
		newConn(p, m).start()
	}
}

// evict closes the connection that has been idle longest and tells whether there was one. Once it has ended there is room
// for one to the given member, if any.
func (p *Pool) evict(to *member) bool {
	var oldest *conn
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].since < oldest.since) {
			oldest = m.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.m.idle = oldest.m.idle[1:]
	if oldest.roomFor = to; to != nil {
		to.room++
	}
	oldest.close()
	return true
}

// sweep closes idle connections ahead of the members' limit, and forgets
// members that have left for good: their like come under ever new ids.
func (p *Pool) sweep() {
	for id, m := range p.members {
		if m.left && m.unwanted != 0 && len(m.idle)+len(m.busy)+len(m.waiting)+m.making+m.room == 0 {
			delete(p.members, id)
			continue
		}
		p.closeIdle(m, p.core.Now()-core.Time(idlePart*float64(p.conf.Load().MemberIdleTimeout))+sweepEvery)
	}
	p.core.RunAt(p.core.Now()+sweepEvery, p.sweep)
}

// closeIdle closes the idle connections of m that were last used before t, all for 0.
func (p *Pool) closeIdle(m *member, t core.Time) {
	m.idle = slices.DeleteFunc(m.idle, func(c *conn) bool {
		if t != 0 && c.since >= t {
			return false
		}
		c.close()
		return true
	})
}

// finish reports a job's end to the core.
func (p *Pool) finish(j *job, o core.Outcome) {
	m := j.m
	m.waiting = slices.DeleteFunc(m.waiting, func(o *job) bool { return o == j })
	if j.attempt == nil {
		p.core.Probed(m.id, o.Result, o.Report)
		return
	}
	delete(p.jobs, j.attempt)
	p.core.Done(j.attempt, o)
}

// The rest is posted by connections.

// ready takes a connection that is free.
func (p *Pool) ready(c *conn) {
	m := c.m
	m.busy = slices.DeleteFunc(m.busy, func(o *conn) bool { return o == c })
	if m.unwanted != 0 || c.addr != m.addr {
		c.close()
		return
	}
	if len(m.waiting) == 0 {
		c.since = p.core.Now()
		m.idle = append(m.idle, c)
		return
	}
	j := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.busy = append(m.busy, c)
	j.c = c
	c.limit(0)
	if !c.Post(order{job: j}) {
		j.c = nil
		m.waiting = append(m.waiting, j)
	}
}

// ended takes the end of a connection. What it had been given and did not
// begin to write starts anew on another one: the connection was old, which says
// nothing of the member now.
func (p *Pool) ended(c *conn, left []order) {
	m := c.m
	p.open--
	same := func(o *conn) bool { return o == c }
	m.busy = slices.DeleteFunc(m.busy, same)
	m.idle = slices.DeleteFunc(m.idle, same)
	for _, o := range left {
		if o.job == nil || o.stop || o.stall || o.job.c != c {
			continue
		}
		o.job.c = nil
		if slices.ContainsFunc(left, func(s order) bool { return s.stop && s.job == o.job }) {
			p.finish(o.job, core.Outcome{Result: decide.NotSent})
		} else {
			p.start(o.job)
		}
	}
	if to := c.roomFor; to != nil {
		to.room--
		p.make(to)
	}
	p.make(m)
}

// failed takes a connection that did not come up. The jobs that now have none
// on the way share its fate.
func (p *Pool) failed(c *conn, result decide.Result, err error) {
	m := c.m
	m.making--
	p.open--
	p.failing.Info(p.log, "member connect failed", "member", m.id, "result", int(result), "err", err)
	for len(m.waiting) > m.making+m.room {
		p.finish(m.waiting[0], core.Outcome{Result: result})
	}
}

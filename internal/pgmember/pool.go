// Package pgmember connects the gateway to members that speak the PostgreSQL
// protocol: it holds their connections and carries out attempts and probes. The
// pool's state belongs to the core's owner goroutine, which all methods of Pool
// must run on. Each connection has a goroutine of its own, which gets its orders
// from a mailbox and reports through the core's queue.
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

// Config is the configuration of a Pool.
type Config struct {
	User, Database    string        // sent in the startup message to members
	MaxConns          int           // connections to all members together
	MemberIdleTimeout time.Duration // members close connections that are idle for this long
	ConnectTimeout    time.Duration // time limit for dialing, startup included, and for probes
	DrainGrace        time.Duration // sends to a draining member must end within it
	KeepDelisted      bool          // a member that is missing from the list without having drained may still be used
	ReservedBuffers   int           // buffers that streamed answers leave to others
	ReportFigures     []string      // the figures of a load report, as the settings name them
}

const (
	idleFraction       = 0.8 // of MemberIdleTimeout; idle connections are closed by then, so that no request crosses the member's close
	drainGraceFraction = 0.6 // of DrainGrace; no statement is written after it
	sweepInterval      = time.Second
	maxMembersHeld     = 2 * decide.MaxMembers // kept in all, including members off the list that still have connections
	minUnreadAge       = 5 * time.Second       // a streamed answer whose client takes nothing for so long ends where connections are short
	boundMargin        = 2 * time.Millisecond  // data ages further until the last byte of the statement is written
)

// Pool holds the connections to all members.
type Pool struct {
	core              *core.Core
	log               *slog.Logger
	conf              atomic.Pointer[Config] // read by the connections' goroutines; MaxConns and ReservedBuffers count only in New
	maxConns          int                    // see SetMaxConns
	reservedBuffers   int                    // see Config.ReservedBuffers
	bufs              *pgwire.Pool
	dial              Dialer
	members           map[string]*member // by id
	openCount         int                // connections, including those being established
	jobs              map[*core.Attempt]*job
	positionsReported atomic.Bool // some member has reported a log position

	invalidAnswerLog, surplusLog, brokenStreamLog, connectFailedLog, noConnsLog, unreadLog, listTooLongLog logthrottle.Line

	beforeWrite func(*job) // test hook: called right before a job's statement is written
}

// member is the pool's state of one member.
type member struct {
	id, addr         string
	excludedSince    core.Time // since when it may get no new work; 0 = it may
	delisted         bool      // no longer in the list
	idle             []*conn   // the most recently used last
	busy             []*conn
	waiting          []*job    // for a connection
	connecting       int       // connections being established
	silenceLoggedAt  core.Time // when a silence of its streamed answers was last logged; 0 = none is
	pendingEvictions int       // connections to other members that are closing to make room for one to this member
}

// job is an attempt or a probe.
type job struct {
	member  *member
	attempt *core.Attempt // nil for a probe
	conn    *conn         // that it was given to, nil while it waits
	stopped atomic.Bool   // see stopJob: no byte of it may be written any more
}

// abandoned reports whether no byte of the job may be written any more. Any goroutine may call it.
func (j *job) abandoned() bool {
	return j.stopped.Load() || j.attempt != nil && j.attempt.Request.Closed()
}

// New returns a pool that reports to c and opens connections with dial.
func New(c *core.Core, conf Config, bufs *pgwire.Pool, dial Dialer, log *slog.Logger) *Pool {
	p := &Pool{core: c, log: log, bufs: bufs, dial: dial, maxConns: conf.MaxConns, reservedBuffers: conf.ReservedBuffers,
		members: map[string]*member{}, jobs: map[*core.Attempt]*job{}}
	p.conf.Store(&conf)
	c.Post(p.sweep)
	return p
}

// Reconfigure replaces the configuration, except for ReservedBuffers and MaxConns, see SetMaxConns. Only the owner
// goroutine may call it. Connections and jobs that are under way keep the time limits that they started with.
func (p *Pool) Reconfigure(conf Config) { p.conf.Store(&conf) }

// Sizes are the lengths of the pool's tables.
type Sizes struct{ Members, Connections, Jobs int }

// Sizes returns the lengths of the pool's tables. Only the owner goroutine may call it.
func (p *Pool) Sizes() Sizes { return Sizes{len(p.members), p.openCount, len(p.jobs)} }

// SetMaxConns sets the maximum number of connections and closes idle ones above it. Only the owner goroutine may call
// it.
func (p *Pool) SetMaxConns(maxConns int) {
	p.maxConns = maxConns
	for n := p.openCount - maxConns; n > 0 && p.evictOldest(nil); n-- {
	}
}

// List applies a list of members, or a change of it: their addresses, and which of them may get new work.
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
				p.listTooLongLog.Warn(p.log, "list of members is too long, the rest is not used", "kept", len(p.members), "member", l.ID)
			}
			if len(p.members) >= maxMembersHeld {
				continue
			}
			m = &member{id: l.ID}
			p.members[l.ID] = m
		}
		if m.addr != l.Addr {
			m.addr = l.Addr
			p.closeIdle(m, 0)
		}
		m.delisted = l.State == decide.Removed
		p.setUsable(m, l.State == decide.Up || m.delisted && p.conf.Load().KeepDelisted)
	}
	if !kind.IsWholeList() || p.conf.Load().KeepDelisted {
		return
	}
	for id, m := range p.members {
		if !named[id] {
			m.delisted = true
			p.setUsable(m, false)
		}
	}
}

// setUsable sets whether a member may get new work. If not, jobs that still wait
// for a connection to it are not sent, and jobs that a connection was given must
// be written within the grace time.
func (p *Pool) setUsable(m *member, usable bool) {
	if usable {
		m.excludedSince = 0
	} else if m.excludedSince == 0 {
		m.excludedSince = p.core.Now()
		p.closeIdle(m, 0)
		for len(m.waiting) > 0 {
			p.finishJob(m.waiting[0], core.Outcome{Result: decide.NotSent})
		}
	}
	for _, c := range m.busy {
		c.setWriteLimit(p.writeLimit(m))
	}
}

// writeLimit returns until when statements may be written to m, 0 = no limit.
func (p *Pool) writeLimit(m *member) core.Time {
	if m.excludedSince == 0 {
		return 0
	}
	return m.excludedSince + core.Time(drainGraceFraction*float64(p.conf.Load().DrainGrace))
}

// Send starts an attempt. Exactly one Core.Done follows.
func (p *Pool) Send(a *core.Attempt) {
	m := p.members[a.Member]
	j := &job{member: m, attempt: a}
	if m == nil {
		p.core.Done(a, core.Outcome{Result: decide.NotSent})
		return
	}
	p.jobs[a] = j
	p.startJob(j)
}

// Probe asks a member for its load report. Exactly one Core.Probed follows.
func (p *Pool) Probe(id string) {
	m := p.members[id]
	if m == nil {
		p.core.Probed(id, decide.NotSent, decide.Report{})
		return
	}
	j := &job{member: m}
	p.core.RunAt(p.core.Now()+p.conf.Load().ConnectTimeout, func() { p.stopJob(j, decide.TimedOut) })
	p.startJob(j)
}

// Stop abandons an attempt, with result as its outcome, see core.Members.
func (p *Pool) Stop(a *core.Attempt, result decide.Result) {
	if j := p.jobs[a]; j != nil {
		p.stopJob(j, result)
	}
}

// stopJob abandons a job. If its connection has just ended without writing it, the job comes back to
// connEnded, which does not restart it.
func (p *Pool) stopJob(j *job, result decide.Result) {
	j.stopped.Store(true)
	switch {
	case j.conn != nil:
		j.conn.cancelWrite(j)
		if result != decide.NotSent {
			j.conn.stream.interrupt(j)
			j.conn.Post(order{job: j, stop: true, result: result})
		}
	case slices.Contains(j.member.waiting, j): // no byte of it was written
		p.finishJob(j, core.Outcome{Result: decide.NotSent})
	}
}

// startJob gives a job to the most recently used idle connection, or lets it wait for a new one.
func (p *Pool) startJob(j *job) {
	m := j.member
	if m.excludedSince != 0 || j.abandoned() {
		p.finishJob(j, core.Outcome{Result: decide.NotSent})
		return
	}
	for n := len(m.idle); n > 0; n-- {
		c := m.idle[n-1]
		m.idle = m.idle[:n-1]
		m.busy = append(m.busy, c)
		j.conn = c
		c.setWriteLimit(0)
		if c.Post(order{job: j}) {
			return
		}
		j.conn = nil // the connection has just ended; its report follows in the core's queue
	}
	m.waiting = append(m.waiting, j)
	p.connectWaiting(m)
}

// connectWaiting opens connections for the waiting jobs, within the limit of connections.
func (p *Pool) connectWaiting(m *member) {
	for m.connecting+m.pendingEvictions < len(m.waiting) {
		if p.openCount >= p.maxConns { // a descriptor is free only once an evicted connection has ended
			if !p.evictOldest(m) && !p.evictUnread(m) {
				p.noConnsLog.Warn(p.log, "out of member connections", "open", p.openCount, "member", m.id)
				p.finishJob(m.waiting[len(m.waiting)-1], core.Outcome{Result: decide.NotSent})
			}
			continue
		}
		m.connecting++
		p.openCount++
		newConn(p, m).start()
	}
}

// evictOldest closes the connection that has been idle longest and reports whether there was one. Once it has ended, a
// connection to the given member takes its place, if that is not nil.
func (p *Pool) evictOldest(to *member) bool {
	var oldest *conn
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].idleSince < oldest.idleSince) {
			oldest = m.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.member.idle = oldest.member.idle[1:]
	if oldest.evictedFor = to; to != nil {
		to.pendingEvictions++
	}
	oldest.close()
	return true
}

// evictUnread ends the streamed answer whose client has taken nothing for longest, and for minUnreadAge at least, and reports
// whether there was one. Once its connection has ended, one to the given member takes its place.
func (p *Pool) evictUnread(to *member) bool {
	var oldest *conn
	since := p.core.Now() - minUnreadAge
	for _, m := range p.members {
		for _, c := range m.busy {
			if at := core.Time(c.stream.writingSince.Load()); at != 0 && at < since && c.evictedFor == nil {
				oldest, since = c, at
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.unreadLog.Info(p.log, "long answer ended to make room: its client reads nothing", "member", oldest.member.id)
	oldest.evictedFor = to
	to.pendingEvictions++
	if o := oldest.stream.current.Load(); o != nil {
		o.client.Interrupt()
	}
	return true
}

// sweep closes idle connections ahead of the members' limit, logs silences, and removes
// members that left the list and have no connections or jobs: new members come
// under ever new ids, so the table would grow without end.
func (p *Pool) sweep() {
	for id, m := range p.members {
		p.logSilence(m)
		if m.delisted && m.excludedSince != 0 && len(m.idle)+len(m.busy)+len(m.waiting)+m.connecting+m.pendingEvictions == 0 {
			delete(p.members, id)
			continue
		}
		p.closeIdle(m, p.core.Now()-core.Time(idleFraction*float64(p.conf.Load().MemberIdleTimeout))+sweepInterval)
	}
	p.core.RunAt(p.core.Now()+sweepInterval, p.sweep)
}

// closeIdle closes the idle connections of m that were last used before the given time; all of them if it is 0.
func (p *Pool) closeIdle(m *member, usedBefore core.Time) {
	m.idle = slices.DeleteFunc(m.idle, func(c *conn) bool {
		if usedBefore != 0 && c.idleSince >= usedBefore {
			return false
		}
		c.close()
		return true
	})
}

// finishJob reports a job's outcome to the core.
func (p *Pool) finishJob(j *job, o core.Outcome) {
	m := j.member
	m.waiting = slices.DeleteFunc(m.waiting, func(o *job) bool { return o == j })
	if j.attempt == nil {
		p.core.Probed(m.id, o.Result, o.Report)
		return
	}
	delete(p.jobs, j.attempt)
	p.core.Done(j.attempt, o)
}

// Connections post the functions below to the owner goroutine.

// connReady handles a connection that has become free.
func (p *Pool) connReady(c *conn) {
	m := c.member
	m.busy = slices.DeleteFunc(m.busy, func(o *conn) bool { return o == c })
	if m.excludedSince != 0 || c.addr != m.addr || c.evictedFor != nil {
		c.close()
		return
	}
	if len(m.waiting) == 0 {
		c.idleSince = p.core.Now()
		m.idle = append(m.idle, c)
		return
	}
	j := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.busy = append(m.busy, c)
	j.conn = c
	c.setWriteLimit(0)
	if !c.Post(order{job: j}) {
		j.conn = nil
		m.waiting = append(m.waiting, j)
	}
}

// connEnded handles the end of a connection. Jobs that it was given and did not
// begin to write restart on another one: an old connection that ended says
// nothing about the present state of the member.
func (p *Pool) connEnded(c *conn, orders []order) {
	m := c.member
	p.openCount--
	same := func(o *conn) bool { return o == c }
	m.busy = slices.DeleteFunc(m.busy, same)
	m.idle = slices.DeleteFunc(m.idle, same)
	for _, o := range orders {
		if o.job == nil || o.stop || o.checkStall || o.job.conn != c {
			continue
		}
		o.job.conn = nil
		if slices.ContainsFunc(orders, func(s order) bool { return s.stop && s.job == o.job }) {
			p.finishJob(o.job, core.Outcome{Result: decide.NotSent})
		} else {
			p.startJob(o.job)
		}
	}
	if to := c.evictedFor; to != nil {
		to.pendingEvictions--
		p.connectWaiting(to)
	}
	p.connectWaiting(m)
}

// connFailed handles a connection that could not be established. The waiting jobs
// that now have no connection on the way end with the same result.
func (p *Pool) connFailed(c *conn, result decide.Result, err error) {
	m := c.member
	m.connecting--
	p.openCount--
	p.connectFailedLog.Info(p.log, "member connect failed", "member", m.id, "result", int(result), "err", err)
	for len(m.waiting) > m.connecting+m.pendingEvictions {
		p.finishJob(m.waiting[0], core.Outcome{Result: result})
	}
}

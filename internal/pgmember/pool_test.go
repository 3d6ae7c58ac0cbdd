package pgmember

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

// fakeModule is a fake decision module: it records events, and the test chooses its actions.
type fakeModule struct {
	outcomes map[uint64][]decide.Event
	probes   []decide.Event
	arrived  []uint64
	actions  []decide.Action
	resend   int // number of outcomes that it answers by another send in the same step
}

func (s *fakeModule) Step(_ core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	for _, e := range events {
		switch e.Kind {
		case decide.Arrive:
			s.arrived = append(s.arrived, e.Request)
		case decide.Outcome:
			s.outcomes[e.Request] = append(s.outcomes[e.Request], e)
			if s.resend > 0 {
				s.resend--
				s.actions = append(s.actions, decide.Action{Kind: decide.Send, Request: e.Request, Member: e.Member})
			}
		case decide.Probed:
			s.probes = append(s.probes, e)
		}
	}
	out = append(out, s.actions...)
	s.actions = nil
	return out
}

// replies lists how a fake member may answer a query, each with the result that the protocol defines for it.
var replies = []struct {
	name   string
	result decide.Result
}{
	{"row", decide.Served}, {"25006", decide.Misdirected}, {"72000", decide.Misdirected}, {"XX000", decide.Errored},
	{"53300", decide.Full}, {"break", decide.Reset}, {"half", decide.Reset}, {"silent", decide.TimedOut},
	{"row", decide.Served}, {"norow", decide.Errored}, {"badlen", decide.Errored}, {"fatal 53300", decide.Full},
	{"42601", decide.Rejected}, {"08P01", decide.Rejected}, {"noise", decide.Errored}, {"stall", decide.Errored}, {"two rows", decide.Errored}, {"short row", decide.Errored},
	{"endless", decide.Errored}, {"odd error", decide.Errored}, {"extra", decide.Served}, {"row", decide.Served},
	{"begun 53300", decide.Errored}, {"begun 72000", decide.Errored}, {"begun 42601", decide.Errored}, {"row", decide.Served},
}

const description = "\x00\x01doc\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"

// markerAnswer is a member's answer to the marker before a statement.
var markerAnswer = pgwire.AppendReadyForQuery(pgwire.Append(nil, 'I'))

// pipeFixture is a pool with a fake member behind it, on pipes and fake time.
type pipeFixture struct {
	t           *testing.T
	module      *fakeModule
	core        *core.Core
	pool        *Pool
	bufs        *pgwire.Pool
	mu          sync.Mutex // guards the fields below, which the members' goroutines use
	nextReply   int        // index in ways of the answer to the next query
	down        bool       // connections are refused
	delay       time.Duration
	conns       int
	attemptsOut map[string]int // attempts under way on open connections, by request id
	queries     int            // queries received
	lastQuery   time.Time      // when the last one was received
}

func newPipeFixture(t *testing.T, most int) *pipeFixture {
	r := &pipeFixture{t: t, module: &fakeModule{outcomes: map[uint64][]decide.Event{}}, bufs: pgwire.NewPool(40, 20), attemptsOut: map[string]int{}}
	log := slog.New(slog.DiscardHandler)
	r.core = core.New(core.NewClock(), r.module, log)
	r.pool = New(r.core, Config{User: "app", Database: "shop", MaxConns: most, MemberIdleTimeout: 15 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond, ReportFigures: []string{"x0", "x1"}}, r.bufs, r.dial, log)
	r.core.Connect(r.pool, nil)
	r.list(decide.Up)
	ctx, cancel := context.WithCancel(t.Context())
	go r.core.Run(ctx)
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return r
}

func (r *pipeFixture) list(state decide.MemberState) {
	r.core.List(decide.ListChange, []core.ListedMember{{Addr: "a:1", Member: decide.Member{ID: "m", State: state}}})
	synctest.Wait()
}

func (r *pipeFixture) dial(context.Context, string) (net.Conn, error) {
	if r.down {
		return nil, errors.New("refused")
	}
	time.Sleep(r.delay)
	a, b := net.Pipe()
	r.count(1)
	r.t.Cleanup(func() { _ = b.Close() })
	l := &gatewayEnd{Conn: a, r: r}
	go func() {
		r.serveMember(b, l)
		_ = b.Close()
		r.count(-1)
	}()
	return l, nil
}

// gatewayEnd is the gateway's end of a connection. It records the attempt that is under way on it.
type gatewayEnd struct {
	net.Conn
	r      *pipeFixture
	id     string
	closed bool
}

func (l *gatewayEnd) Close() error {
	l.attemptOver()
	l.r.mu.Lock()
	l.closed = true
	l.r.mu.Unlock()
	return l.Conn.Close()
}

func (l *gatewayEnd) attemptOver() {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.id != "" {
		l.r.attemptsOut[l.id]--
		l.id = ""
	}
}

func (r *pipeFixture) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns += n
}

// inspect runs f on the owner goroutine with mu held, so that f may read what the owner and the members' goroutines
// write.
func (r *pipeFixture) inspect(f func()) {
	r.core.Post(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	})
	synctest.Wait()
}

// sleep lets d pass and waits until all that falls due in it is done.
func (r *pipeFixture) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// serveMember serves one connection as a member does.
func (r *pipeFixture) serveMember(c net.Conn, l *gatewayEnd) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head[:4]); err != nil {
		return
	}
	n, _ := pgwire.StartupLen(head)
	_, _ = io.ReadFull(c, make([]byte, n))
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
	for marked := false; ; {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		_, n, _ := pgwire.Header(head)
		body := make([]byte, n)
		_, _ = io.ReadFull(c, body)
		if string(body) == "\x00" { // a pipe has no buffer: the gateway reads only once its statement was read
			marked = true
			continue
		}
		if !marked {
			r.t.Errorf("no marker before %q", body)
		}
		marked = false
		_, _ = c.Write(markerAnswer)
		if strings.HasPrefix(string(body), "SHOW health") {
			row := "x0=1000.5,x1=1,nonsense=3"
			_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00",
				string(rune(len(row))), row), 'C', "SHOW\x00")))
			continue
		}
		if !r.answerQuery(c, l, string(body)) {
			return
		}
	}
}

// answerQuery answers one statement and reports whether the connection stays open.
func (r *pipeFixture) answerQuery(c net.Conn, l *gatewayEnd, text string) bool {
	id, _, _ := strings.Cut(strings.TrimPrefix(text, "/* id="), ",")
	if !strings.HasSuffix(text, "WHERE id = 'k'\x00") || !strings.Contains(text, ",c=r,d=") {
		r.t.Errorf("statement changed: %q", text)
	}
	r.mu.Lock()
	r.queries++
	r.lastQuery = time.Now()
	if !l.closed {
		r.attemptsOut[id]++
		l.id = id
	}
	if r.attemptsOut[id] > 1 {
		r.t.Errorf("two attempts of request %s under way", id)
	}
	way := replies[r.nextReply%len(replies)].name
	r.nextReply++
	r.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Millisecond)) // working, while it would notice that the gateway closes
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		way = "break"
	}
	_ = c.SetReadDeadline(time.Time{})
	row := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00\x01v")
	roleAndPosition := pgwire.AppendParameterStatus(pgwire.AppendParameterStatus(nil, "recovery", "on"), "lsn_ms", "1767225600123")
	var reply []byte
	more := true
	switch way {
	case "row":
		reply = pgwire.AppendReadyForQuery(append(pgwire.Append(row, 'C', "SELECT 1\x00"), roleAndPosition...))
	case "noise":
		reply = []byte("\x9f\x03 what is this, and where does it end? \r\n")
	case "stall":
		reply = row[:len(row)-3]
	case "two rows":
		reply = pgwire.AppendReadyForQuery(pgwire.Append(append(row, row[5+len(description):]...), 'C', "SELECT 2\x00"))
	case "short row":
		reply = pgwire.AppendReadyForQuery(pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D',
			"\x00\x01\x00\x00\x00\x09v"), 'C', "SELECT 1\x00"))
	case "endless":
		reply = bytes.Repeat(pgwire.AppendParameterStatus(nil, "more", "and more"), 1000)
	case "odd error":
		reply = pgwire.AppendReadyForQuery(pgwire.Append(nil, 'E', "SERROR\x00C5\x00\x00"))
	case "extra":
		reply = pgwire.AppendReadyForQuery(append(pgwire.Append(row, 'C', "SELECT 1\x00"), roleAndPosition...))
		reply = append(reply, reply...)
	case "norow":
		reply = pgwire.AppendReadyForQuery(roleAndPosition)
	case "badlen":
		reply, more = []byte{'D', 0x7f, 0, 0, 0}, false
	case "half":
		reply, more = row[:len(row)-3], false
	case "break":
		more = false
	case "silent":
		buf := make([]byte, 1)
		_, _ = c.Read(buf) // until the gateway closes
		more = false
	case "fatal 53300":
		reply, more = pgwire.AppendError(nil, "FATAL", way[6:], "no", ""), false
	default:
		begun := []byte(nil)
		if code, ok := strings.CutPrefix(way, "begun "); ok {
			begun, way = pgwire.Append(nil, 'T', description), code
		}
		reply = pgwire.AppendReadyForQuery(append(pgwire.AppendError(begun, "ERROR", way, "no", ""), roleAndPosition...))
	}
	l.attemptOver()
	_, _ = c.Write(reply)
	return more
}

// sink receives a request's answer.
type sink struct {
	r       *pipeFixture
	answers []core.Answer
	bodies  []string // of the answers that have one
}

func (s *sink) Answer(a core.Answer) {
	s.answers = append(s.answers, a)
	if a.Body != nil {
		s.bodies = append(s.bodies, string(a.Body.(*pgwire.Buf).B))
		if !strings.HasSuffix(string(a.Body.(*pgwire.Buf).B), "SELECT 1\x00") {
			s.r.t.Errorf("answer %q", a.Body.(*pgwire.Buf).B)
		}
		a.Body.Release()
	}
}

// arrive passes the core a request with the given time to its deadline.
func (r *pipeFixture) arrive(wait time.Duration) *sink {
	buf := r.bufs.Get(200, 0)
	buf.B = append(buf.B, "/* id="+strconv.Itoa(len(r.module.arrived)+1)+",c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'"...)
	st, err := pgwire.Parse(buf)
	if err != nil {
		r.t.Fatal(err)
	}
	s := &sink{r: r}
	r.core.Arrive(&core.Request{Deadline: r.core.Now() + wait, Call: st, Client: s})
	synctest.Wait()
	return s
}

// act makes the fake module return an action.
func (r *pipeFixture) act(a decide.Action) {
	r.core.Post(func() { r.module.actions = append(r.module.actions, a) })
	r.core.List(decide.ListError, nil) // an event, which causes a step
	synctest.Wait()
}

func (r *pipeFixture) send(id uint64) {
	r.act(decide.Action{Kind: decide.Send, Request: id, Member: "m"})
}

// results returns the results of a request's attempts.
func (r *pipeFixture) results(id uint64) (list []decide.Result) {
	for _, e := range r.module.outcomes[id] {
		list = append(list, e.Result)
	}
	return list
}

func wantOnly(t *testing.T, what string, got []decide.Result, want decide.Result) {
	t.Helper()
	if len(got) != 1 || got[0] != want {
		t.Errorf("%s: outcomes %v, want one, %d", what, got, want)
	}
}

// TestOutcomes checks the outcome of an attempt for every kind of answer against the protocol's definition.
func TestOutcomes(t *testing.T) {
	for i, w := range replies {
		synctest.Test(t, func(t *testing.T) {
			r := newPipeFixture(t, 4)
			r.nextReply = i
			s := r.arrive(400 * time.Millisecond)
			r.send(1)
			r.sleep(time.Second)
			wantOnly(t, w.name, r.results(1), w.result)
			if len(s.answers) != 1 {
				t.Errorf("%s: %d answers", w.name, len(s.answers))
			}
			if e := r.module.outcomes[1][0]; w.result == decide.Errored && w.name != "XX000" && e.HasPosition {
				t.Errorf("%s: the position in an invalid answer was used: %+v", w.name, e)
			}
			if w.name != "row" && len(w.name) != len("25006") || w.name == "noise" || w.name == "extra" {
				r.inspect(func() { // otherwise surplus bytes would be taken for the next request's answer
					if r.conns != 0 {
						t.Errorf("%s: the connection is kept", w.name)
					}
				})
			}
			if e := r.module.outcomes[1][0]; w.name == "row" && (e.Role != decide.Replica || !e.HasPosition ||
				e.Position != 1767225600123*time.Millisecond || !e.Ended) {
				t.Errorf("role or position not as sent: %+v", e)
			}
		})
	}
}

// TestProbe: the figures of a load report arrive under their names, positions in seconds since 1970.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		r.act(decide.Action{Kind: decide.Probe, Member: "m"})
		r.sleep(time.Second)
		if p := r.module.probes; len(p) != 1 || p[0].Result != decide.Served || p[0].Report.Role != decide.Primary ||
			p[0].Report.Position != 1000500*time.Millisecond {
			t.Errorf("probed %+v", p)
		}
		r.down = true
		r.sleep(20 * time.Second)
		r.act(decide.Action{Kind: decide.Probe, Member: "m"})
		r.sleep(time.Second)
		if p := r.module.probes; len(p) != 2 || p[1].Result != decide.Unreachable {
			t.Errorf("probed %+v", p)
		}
	})
}

// TestStaleDecision: a send that waits for a connection is not written once the
// member drains, the request is over or the member's data is too old.
func TestStaleDecision(t *testing.T) {
	for name, change := range map[string]func(r *pipeFixture){
		"drained":   func(r *pipeFixture) { r.list(decide.Draining) },
		"cancelled": func(r *pipeFixture) { r.act(decide.Action{Kind: decide.Cancel, Request: 1}) },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newPipeFixture(t, 4)
			r.delay = 100 * time.Millisecond
			r.arrive(400 * time.Millisecond)
			r.send(1)
			change(r)
			wantOnly(t, name, r.results(1), decide.NotSent)
			r.sleep(time.Second)
			r.inspect(func() {
				if r.queries != 0 {
					t.Errorf("%s: the statement was written", name)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		r.delay = 100 * time.Millisecond
		r.arrive(400 * time.Millisecond)
		r.act(decide.Action{Kind: decide.Send, Request: 1, Member: "m", WriteBy: r.core.Now() + 50*time.Millisecond})
		r.sleep(time.Second)
		wantOnly(t, "aged", r.results(1), decide.NotSent)
	})
}

// TestNoSecondAttempt: when the outcome of an abandoned attempt is reported, its
// connection is closed already, as the module may send again in the same step.
func TestNoSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		r.arrive(400 * time.Millisecond) // leaves a second connection, which the retry uses at once
		r.send(1)
		r.arrive(400 * time.Millisecond)
		r.send(2)
		r.sleep(time.Second)
		r.inspect(func() { r.nextReply, r.module.resend = 7, 1 })
		r.arrive(400 * time.Millisecond)
		r.act(decide.Action{Kind: decide.Send, Request: 3, Member: "m", Timeout: 100 * time.Millisecond})
		r.sleep(time.Second)
		if got := r.results(3); len(got) != 2 || got[0] != decide.TimedOut || got[1] != decide.Served {
			t.Errorf("outcomes %v", got)
		}
	})
}

// TestIdleConnections: connections are reused, the most recently used first, and closed ahead of the member's idle
// limit.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		for id := range uint64(3) {
			r.nextReply = 0
			r.arrive(400 * time.Millisecond)
			r.send(id + 1)
			r.sleep(5 * time.Second)
			wantOnly(t, "reused", r.results(id+1), decide.Served)
		}
		r.inspect(func() {
			if r.conns != 1 {
				t.Errorf("%d connections, want 1", r.conns)
			}
		})
		r.sleep(10 * time.Second)
		r.inspect(func() {
			if r.conns != 0 || r.pool.openCount != 0 {
				t.Errorf("%d connections open after 15 s of idleness, %d counted", r.conns, r.pool.openCount)
			}
		})
	})
}

// TestResetOfReusedConnection: the outcome of a reset says whether the connection had served before and no answer had
// begun on it: only the reset of a new connection says anything about the member.
func TestResetOfReusedConnection(t *testing.T) {
	for _, tc := range []struct {
		first, then string
		want        bool
	}{{"", "break", false}, {"row", "break", true}, {"row", "half", false}} {
		synctest.Test(t, func(t *testing.T) {
			r := newPipeFixture(t, 4)
			id := uint64(0)
			for _, way := range []string{tc.first, tc.then} {
				if way == "" {
					continue
				}
				for r.nextReply = 0; replies[r.nextReply].name != way; r.nextReply++ {
				}
				id++
				r.arrive(400 * time.Millisecond)
				r.send(id)
				r.sleep(100 * time.Millisecond)
			}
			if e := r.module.outcomes[id]; len(e) != 1 || e[0].Result != decide.Reset || e[0].Reused != tc.want {
				t.Errorf("%q, then %q: %+v", tc.first, tc.then, e)
			}
		})
	}
}

// TestMembersLeave: members that join under ever new ids and leave again are removed once their connections have
// closed; the number of members held at once is bounded.
func TestMembersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		r.arrive(400 * time.Millisecond)
		r.send(1)
		r.sleep(100 * time.Millisecond)
		list := make([]core.ListedMember, 2*maxMembersHeld)
		for i := range list {
			list[i].ID = strconv.Itoa(i)
		}
		r.core.List(decide.ListChange, list)
		r.inspect(func() {
			if n := len(r.pool.members); n != maxMembersHeld {
				t.Errorf("%d members", n)
			}
		})
		r.core.List(decide.ListFull, list[:1])
		r.sleep(2 * sweepInterval)
		r.inspect(func() {
			if n := len(r.pool.members); n != 1 || r.pool.openCount != 0 {
				t.Errorf("%d members, %d connections", n, r.pool.openCount)
			}
		})
	})
}

// FuzzPool plays random sends, cancels, probes, lists and faults. It checks:
// one outcome per send, one answer per request, never two attempts of a request
// under way, no more connections than allowed, nothing written to a drained
// member after the grace time, and no buffer, job or connection left at the end.
func FuzzPool(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 150 {
		steps := make([]byte, 4+rng.IntN(60))
		for i := range steps {
			steps[i] = byte(rng.IntN(256))
		}
		f.Add(steps)
	}
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { playPool(t, steps[:min(len(steps), 80)]) })
	})
}

func playPool(t *testing.T, steps []byte) {
	const most = 5
	r := newPipeFixture(t, most)
	var sinks []*sink
	var drained time.Time
	sends, probes := map[uint64]int{}, 0
	send := func(id uint64) {
		free := false
		r.inspect(func() {
			free = len(sinks[id-1].answers) == 0 && len(r.results(id)) == sends[id] && sends[id] < 4
		})
		if free {
			sends[id]++
			r.send(id)
		}
	}
	for i, b := range steps {
		switch b % 10 {
		case 0, 1, 2:
			if len(sinks) < 12 {
				sinks = append(sinks, r.arrive(time.Duration(b)*10*time.Millisecond+50*time.Millisecond))
				send(uint64(len(sinks)))
			}
		case 3, 4:
			if len(sinks) > 0 {
				send(uint64(int(b)%len(sinks)) + 1)
			}
		case 5:
			if len(sinks) > 0 {
				r.act(decide.Action{Kind: decide.Cancel, Request: uint64(int(b)%len(sinks)) + 1, Attempt: i % 4})
			}
		case 6:
			r.act(decide.Action{Kind: decide.Probe, Member: "m"})
			probes++
		case 7:
			r.down, r.delay = b > 200, time.Duration(b%4)*40*time.Millisecond
		case 8:
			if b < 200 {
				drained = time.Time{}
				r.list(decide.Up)
			} else {
				if drained.IsZero() {
					drained = time.Now()
				}
				r.list(decide.Draining)
			}
		case 9:
			r.sleep(time.Duration(b) * time.Millisecond)
		}
		synctest.Wait()
		r.inspect(func() {
			if r.conns > most {
				t.Errorf("step %d: %d connections", i, r.conns)
			}
			if !drained.IsZero() && r.lastQuery.Sub(drained) > 250*time.Millisecond {
				t.Errorf("step %d: written %v after it drained", i, r.lastQuery.Sub(drained))
			}
		})
	}
	r.sleep(30 * time.Second)
	r.inspect(func() {
		for i, s := range sinks {
			id := uint64(i) + 1
			if len(s.answers) != 1 {
				t.Errorf("request %d: %d answers", id, len(s.answers))
			}
			if got := len(r.results(id)); got != sends[id] {
				t.Errorf("request %d: %d outcomes of %d sends", id, got, sends[id])
			}
		}
		if len(r.module.probes) != probes || r.bufs.FreeLarge() != 40 || r.bufs.FreeSmall() != 20 || r.pool.openCount != 0 || r.conns != 0 || len(r.pool.jobs) != 0 {
			t.Errorf("%d of %d probes ended; %d of 40 buffers back; %d connections counted, %d open; %d jobs",
				len(r.module.probes), probes, r.bufs.FreeLarge(), r.pool.openCount, r.conns, len(r.pool.jobs))
		}
	})
}

// TestLargeListIsHeld guards against dropping members of a large list, which then get no connection.
func TestLargeListIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPipeFixture(t, 4)
		list := make([]core.ListedMember, 3200)
		for i := range list {
			list[i] = core.ListedMember{Addr: "a:1", Member: decide.Member{ID: strconv.Itoa(i)}}
		}
		r.core.List(decide.ListFull, list)
		synctest.Wait()
		r.inspect(func() {
			if n := len(r.pool.members); n < len(list) {
				t.Errorf("%d of %d members held", n, len(list))
			}
		})
	})
}

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

// script stands in for the module: it notes events and lets the test act.
type script struct {
	outcomes map[uint64][]decide.Event
	probes   []decide.Event
	arrived  []uint64
	actions  []decide.Action
	again    int // outcomes that are followed by another send in the same step
}

func (s *script) Step(_ core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	for _, e := range events {
		switch e.Kind {
		case decide.Arrive:
			s.arrived = append(s.arrived, e.Request)
		case decide.Outcome:
			s.outcomes[e.Request] = append(s.outcomes[e.Request], e)
			if s.again > 0 {
				s.again--
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

// ways in which a fake member meets a query, and what the protocol's table makes of each.
var ways = []struct {
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

// rig is a pool with a fake member behind it.
type rig struct {
	t      *testing.T
	script *script
	core   *core.Core
	pool   *Pool
	bufs   *pgwire.Pool
	mu     sync.Mutex // held by the members' goroutines for what follows
	way    int        // how the next query is met
	down   bool       // connections are refused
	delay  time.Duration
	conns  int
	out    map[string]int // attempts out on open connections, by request id
	got    int            // queries that came
	last   time.Time      // when the last came
}

func newRig(t *testing.T, most int) *rig {
	r := &rig{t: t, script: &script{outcomes: map[uint64][]decide.Event{}}, bufs: pgwire.NewPool(40, 20), out: map[string]int{}}
	log := slog.New(slog.DiscardHandler)
	r.core = core.New(core.NewClock(), r.script, log)
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

func (r *rig) list(state decide.MemberState) {
	r.core.List(decide.ListChange, []core.ListedMember{{Addr: "a:1", Member: decide.Member{ID: "m", State: state}}})
	synctest.Wait()
}

func (r *rig) dial(context.Context, string) (net.Conn, error) {
	if r.down {
		return nil, errors.New("refused")
	}
	time.Sleep(r.delay)
	a, b := net.Pipe()
	r.count(1)
	r.t.Cleanup(func() { _ = b.Close() })
	l := &link{Conn: a, r: r}
	go func() {
		r.member(b, l)
		_ = b.Close()
		r.count(-1)
	}()
	return l, nil
}

// link is the gateway's end of a connection, which knows the attempt out on it.
type link struct {
	net.Conn
	r      *rig
	id     string
	closed bool
}

func (l *link) Close() error {
	l.over()
	l.r.mu.Lock()
	l.closed = true
	l.r.mu.Unlock()
	return l.Conn.Close()
}

func (l *link) over() {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.id != "" {
		l.r.out[l.id]--
		l.id = ""
	}
}

func (r *rig) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns += n
}

// look reads what the owner and the members' goroutines write.
func (r *rig) look(f func()) {
	r.core.Post(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	})
	synctest.Wait()
}

// sleep lets time pass and all that falls due in it be done.
func (r *rig) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// member serves one connection as a db machine does.
func (r *rig) member(c net.Conn, l *link) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c, head[:4]); err != nil {
		return
	}
	n, _ := pgwire.StartupLen(head)
	_, _ = io.ReadFull(c, make([]byte, n))
	_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		_, n, _ := pgwire.Header(head)
		body := make([]byte, n)
		_, _ = io.ReadFull(c, body)
		if strings.HasPrefix(string(body), "SHOW health") {
			row := "x0=1000.5,x1=1,nonsense=3"
			_, _ = c.Write(pgwire.AppendReadyForQuery(pgwire.Append(pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00",
				string(rune(len(row))), row), 'C', "SHOW\x00")))
			continue
		}
		if !r.query(c, l, string(body)) {
			return
		}
	}
}

// query meets one statement and tells whether the connection goes on.
func (r *rig) query(c net.Conn, l *link, text string) bool {
	id, _, _ := strings.Cut(strings.TrimPrefix(text, "/* id="), ",")
	if !strings.HasSuffix(text, "WHERE id = 'k'\x00") || !strings.Contains(text, ",c=r,d=") {
		r.t.Errorf("statement changed: %q", text)
	}
	r.mu.Lock()
	r.got++
	r.last = time.Now()
	if !l.closed {
		r.out[id]++
		l.id = id
	}
	if r.out[id] > 1 {
		r.t.Errorf("two attempts of request %s out", id)
	}
	way := ways[r.way%len(ways)].name
	r.way++
	r.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Millisecond)) // at work, while it sees the gateway close
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		way = "break"
	}
	_ = c.SetReadDeadline(time.Time{})
	row := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', "\x00\x01\x00\x00\x00\x01v")
	note := pgwire.AppendParameterStatus(pgwire.AppendParameterStatus(nil, "recovery", "on"), "lsn_ms", "1767225600123")
	var reply []byte
	more := true
	switch way {
	case "row":
		reply = pgwire.AppendReadyForQuery(append(pgwire.Append(row, 'C', "SELECT 1\x00"), note...))
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
		reply = pgwire.AppendReadyForQuery(append(pgwire.Append(row, 'C', "SELECT 1\x00"), note...))
		reply = append(reply, reply...)
	case "norow":
		reply = pgwire.AppendReadyForQuery(note)
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
		reply = pgwire.AppendReadyForQuery(append(pgwire.AppendError(begun, "ERROR", way, "no", ""), note...))
	}
	l.over()
	_, _ = c.Write(reply)
	return more
}

// sink takes a request's answer.
type sink struct {
	r       *rig
	answers []core.Answer
}

func (s *sink) Answer(a core.Answer) {
	s.answers = append(s.answers, a)
	if a.Body != nil {
		if !strings.HasSuffix(string(a.Body.(*pgwire.Buf).B), "SELECT 1\x00") {
			s.r.t.Errorf("answer %q", a.Body.(*pgwire.Buf).B)
		}
		a.Body.Release()
	}
}

// arrive hands over a request that waits for the time given.
func (r *rig) arrive(wait time.Duration) *sink {
	buf := r.bufs.Get(200, 0)
	buf.B = append(buf.B, "/* id="+strconv.Itoa(len(r.script.arrived)+1)+",c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'"...)
	st, err := pgwire.Parse(buf)
	if err != nil {
		r.t.Fatal(err)
	}
	s := &sink{r: r}
	r.core.Arrive(&core.Request{Deadline: r.core.Now() + wait, Call: st, Client: s})
	synctest.Wait()
	return s
}

// act has the module do something.
func (r *rig) act(a decide.Action) {
	r.core.Post(func() { r.script.actions = append(r.script.actions, a) })
	r.core.List(decide.ListError, nil) // an event, so that there is a step
	synctest.Wait()
}

func (r *rig) send(id uint64) { r.act(decide.Action{Kind: decide.Send, Request: id, Member: "m"}) }

// results returns how a request's attempts ended.
func (r *rig) results(id uint64) (list []decide.Result) {
	for _, e := range r.script.outcomes[id] {
		list = append(list, e.Result)
	}
	return list
}

func only(t *testing.T, what string, got []decide.Result, want decide.Result) {
	t.Helper()
	if len(got) != 1 || got[0] != want {
		t.Errorf("%s: outcomes %v, want one, %d", what, got, want)
	}
}

// TestOutcomes holds every way in which an attempt ends against the protocol's table.
func TestOutcomes(t *testing.T) {
	for i, w := range ways {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4)
			r.way = i
			s := r.arrive(400 * time.Millisecond)
			r.send(1)
			r.sleep(time.Second)
			only(t, w.name, r.results(1), w.result)
			if len(s.answers) != 1 {
				t.Errorf("%s: %d answers", w.name, len(s.answers))
			}
			if e := r.script.outcomes[1][0]; w.result == decide.Errored && w.name != "XX000" && e.HasPosition {
				t.Errorf("%s: the note of a spoilt answer was believed: %+v", w.name, e)
			}
			if w.name != "row" && len(w.name) != len("25006") || w.name == "noise" || w.name == "extra" {
				r.look(func() { // else what more comes would be the next request's answer
					if r.conns != 0 {
						t.Errorf("%s: the connection is kept", w.name)
					}
				})
			}
			if e := r.script.outcomes[1][0]; w.name == "row" && (e.Role != decide.Replica || !e.HasPosition ||
				e.Position != 1767225600123*time.Millisecond || !e.Ended) {
				t.Errorf("note %+v", e)
			}
		})
	}
}

// TestProbe: the report's figures come under their names, positions in seconds since 1970.
func TestProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.act(decide.Action{Kind: decide.Probe, Member: "m"})
		r.sleep(time.Second)
		if p := r.script.probes; len(p) != 1 || p[0].Result != decide.Served || p[0].Report.Role != decide.Primary ||
			p[0].Report.Position != 1000500*time.Millisecond {
			t.Errorf("probed %+v", p)
		}
		r.down = true
		r.sleep(20 * time.Second)
		r.act(decide.Action{Kind: decide.Probe, Member: "m"})
		r.sleep(time.Second)
		if p := r.script.probes; len(p) != 2 || p[1].Result != decide.Unreachable {
			t.Errorf("probed %+v", p)
		}
	})
}

// TestOldDecision: a send that waits for a connection isn't written once the
// member drains, the request is over or the data known of is too old.
func TestOldDecision(t *testing.T) {
	for name, change := range map[string]func(r *rig){
		"drained":   func(r *rig) { r.list(decide.Draining) },
		"cancelled": func(r *rig) { r.act(decide.Action{Kind: decide.Cancel, Request: 1}) },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4)
			r.delay = 100 * time.Millisecond
			r.arrive(400 * time.Millisecond)
			r.send(1)
			change(r)
			only(t, name, r.results(1), decide.NotSent)
			r.sleep(time.Second)
			r.look(func() {
				if r.got != 0 {
					t.Errorf("%s: it was written", name)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.delay = 100 * time.Millisecond
		r.arrive(400 * time.Millisecond)
		r.act(decide.Action{Kind: decide.Send, Request: 1, Member: "m", WriteBy: r.core.Now() + 50*time.Millisecond})
		r.sleep(time.Second)
		only(t, "aged", r.results(1), decide.NotSent)
	})
}

// TestNoSecondCopy: when the outcome of a given-up attempt is told, its
// connection is closed, as the module may send again in the same step.
func TestNoSecondCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.arrive(400 * time.Millisecond) // leaves a second connection to be used at once
		r.send(1)
		r.arrive(400 * time.Millisecond)
		r.send(2)
		r.sleep(time.Second)
		r.look(func() { r.way, r.script.again = 7, 1 })
		r.arrive(400 * time.Millisecond)
		r.act(decide.Action{Kind: decide.Send, Request: 3, Member: "m", Timeout: 100 * time.Millisecond})
		r.sleep(time.Second)
		if got := r.results(3); len(got) != 2 || got[0] != decide.TimedOut || got[1] != decide.Served {
			t.Errorf("outcomes %v", got)
		}
	})
}

// TestIdle: connections are used again, the last one first, and closed ahead of the member's limit.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		for id := range uint64(3) {
			r.way = 0
			r.arrive(400 * time.Millisecond)
			r.send(id + 1)
			r.sleep(5 * time.Second)
			only(t, "reused", r.results(id+1), decide.Served)
		}
		r.look(func() {
			if r.conns != 1 {
				t.Errorf("%d connections, want 1", r.conns)
			}
		})
		r.sleep(10 * time.Second)
		r.look(func() {
			if r.conns != 0 || r.pool.open != 0 {
				t.Errorf("%d connections open after 15 s of idleness, %d counted", r.conns, r.pool.open)
			}
		})
	})
}

// TestReused: a reset tells whether the connection had served before, and whether an answer had begun on it:
// only a new connection's tells of the member.
func TestReused(t *testing.T) {
	for _, tc := range []struct {
		first, then string
		want        bool
	}{{"", "break", false}, {"row", "break", true}, {"row", "half", false}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4)
			id := uint64(0)
			for _, way := range []string{tc.first, tc.then} {
				if way == "" {
					continue
				}
				for r.way = 0; ways[r.way].name != way; r.way++ {
				}
				id++
				r.arrive(400 * time.Millisecond)
				r.send(id)
				r.sleep(100 * time.Millisecond)
			}
			if e := r.script.outcomes[id]; len(e) != 1 || e[0].Result != decide.Reset || e[0].Reused != tc.want {
				t.Errorf("%q, then %q: %+v", tc.first, tc.then, e)
			}
		})
	}
}

// TestMembersLeave: members that come under ever new ids and leave again are forgotten, once their connections
// have closed; so many at once are taken, and no more.
func TestMembersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		r.arrive(400 * time.Millisecond)
		r.send(1)
		r.sleep(100 * time.Millisecond)
		list := make([]core.ListedMember, 2*membersMost)
		for i := range list {
			list[i].ID = strconv.Itoa(i)
		}
		r.core.List(decide.ListChange, list)
		r.look(func() {
			if n := len(r.pool.members); n != membersMost {
				t.Errorf("%d members", n)
			}
		})
		r.core.List(decide.ListFull, list[:1])
		r.sleep(2 * sweepEvery)
		r.look(func() {
			if n := len(r.pool.members); n != 1 || r.pool.open != 0 {
				t.Errorf("%d members, %d connections", n, r.pool.open)
			}
		})
	})
}

// FuzzPool plays random sends, cancels, probes, lists and faults. Guards: one
// outcome a send, one answer a request, never two attempts of a request out, no
// more connections than allowed, nothing written to a drained member after the
// grace time, and nothing lost at the end.
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
	r := newRig(t, most)
	var sinks []*sink
	var drained time.Time
	sends, probes := map[uint64]int{}, 0
	send := func(id uint64) {
		free := false
		r.look(func() {
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
		r.look(func() {
			if r.conns > most {
				t.Errorf("step %d: %d connections", i, r.conns)
			}
			if !drained.IsZero() && r.last.Sub(drained) > 250*time.Millisecond {
				t.Errorf("step %d: written %v after it drained", i, r.last.Sub(drained))
			}
		})
	}
	r.sleep(30 * time.Second)
	r.look(func() {
		for i, s := range sinks {
			id := uint64(i) + 1
			if len(s.answers) != 1 {
				t.Errorf("request %d: %d answers", id, len(s.answers))
			}
			if got := len(r.results(id)); got != sends[id] {
				t.Errorf("request %d: %d outcomes of %d sends", id, got, sends[id])
			}
		}
		if len(r.script.probes) != probes || r.bufs.FreeLarge() != 40 || r.bufs.FreeSmall() != 20 || r.pool.open != 0 || r.conns != 0 || len(r.pool.jobs) != 0 {
			t.Errorf("%d of %d probes ended; %d of 40 buffers back; %d connections counted, %d open; %d jobs",
				len(r.script.probes), probes, r.bufs.FreeLarge(), r.pool.open, r.conns, len(r.pool.jobs))
		}
	})
}

// TestLargeListIsHeld guards against members of a large list that get no connection.
func TestLargeListIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		list := make([]core.ListedMember, 3200)
		for i := range list {
			list[i] = core.ListedMember{Addr: "a:1", Member: decide.Member{ID: strconv.Itoa(i)}}
		}
		r.core.List(decide.ListFull, list)
		synctest.Wait()
		r.look(func() {
			if n := len(r.pool.members); n < len(list) {
				t.Errorf("%d members held of %d", n, len(list))
			}
		})
	})
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"reachwind/decide"
	"reachwind/internal/settings"
	"reachwind/internal/wire"
)

// instance is one router and the events it has not seen yet.
type instance struct {
	name    string
	router  *decide.Router
	events  []decide.Event
	actions []decide.Action
	zero    time.Duration
	classes map[string]int
	tenants map[string]int
}

// host keeps the instances of this process.
type host struct {
	open      bool
	now       time.Duration
	instances map[string]*instance
	busy      []*instance // those with events in this batch, in order
	lists     [16][]decide.Member
	filling   *[]decide.Member
	missing   int // STORE lines still owed
	line1     wire.Line
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// line takes one line and reports whether a batch is complete.
func (h *host) line(s string) (bool, error) {
	if s == "" {
		return false, errors.New("empty line")
	}
	l := &h.line1
	if err := l.Parse(s); err != nil {
		return false, err
	}
	r := &wire.Reader{L: l}
	if (l.Name == "TURN") == h.open {
		return false, fmt.Errorf("%s out of place", l.Name)
	}
	if (l.Name == "STORE") != (h.missing > 0) {
		return false, fmt.Errorf("%s where %d STORE lines are due", l.Name, h.missing)
	}
	switch l.Name {
	case "TURN":
		now := us(r.Int("WallUs"))
		if r.Err == nil && now < h.now {
			return false, errors.New("TURN: the clock goes back")
		}
		h.open, h.now, h.busy = true, now, h.busy[:0]
	case "FLUSH":
		h.open = false
		return true, nil
	case "SHEET":
		h.sheet(r)
	case "STORE":
		h.store(r)
	case "PROVISION":
		h.provision(r)
	default:
		h.event(l.Name, r)
	}
	return false, r.Err
}

func (h *host) sheet(r *wire.Reader) {
	bank, n := r.Int("Bank"), r.Int("Items")
	if r.Err == nil && (bank < 0 || int(bank) >= len(h.lists) || n < 0 || n > 1e6) {
		r.Err = fmt.Errorf("SHEET: Bank %d with %d Items", bank, n)
	}
	if r.Err != nil {
		return
	}
	h.lists[bank] = make([]decide.Member, 0, n) // routers may still hold the old one
	h.filling, h.missing = &h.lists[bank], int(n)
}

var states = map[string]decide.MemberState{
	"up": decide.Up, "draining": decide.Draining, "removed": decide.Removed,
}

func (h *host) store(r *wire.Reader) {
	m := decide.Member{
		ID: r.Need("Store"), Group: int64(r.OptNum("Db", 0)), Zone: r.Opt("Dc"), Kind: r.Opt("ClassOfHost"),
		Weight: r.OptNum("Heft", 1), Started: us(r.OptInt("LaunchedUs")), Primary: r.OptNum("Leader", 0) == 1,
	}
	m.State = lookup(r, "State", r.Need("State"), states)
	*h.filling = append(*h.filling, m)
	h.missing--
}

// lookup finds a word in a table and faults on an unknown one.
func lookup[T any](r *wire.Reader, name, word string, table map[string]T) T {
	v, ok := table[word]
	if !ok && r.Err == nil {
		r.Err = fmt.Errorf("%s: field %s: unknown word %q", r.L.Name, name, word)
	}
	return v
}

func (h *host) provision(r *wire.Reader) {
	name, seed := r.Need("FrontId"), r.Need("Seed")
	text := r.Need("Facts")
	if r.Err != nil {
		return
	}
	n, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		i, err2 := strconv.ParseInt(seed, 10, 64)
		if err2 != nil {
			r.Err = fmt.Errorf("PROVISION: field Seed: %q is not a whole number", seed)
			return
		}
		n = uint64(i)
	}
	facts, err := settings.Parse([]byte(text))
	if err != nil {
		r.Err = fmt.Errorf("PROVISION: %w", err)
		return
	}
	cfg, err := facts.Config()
	if err != nil {
		r.Err = fmt.Errorf("PROVISION: %w", err)
		return
	}
	router, err := decide.New(*cfg, n)
	if err != nil {
		r.Err = fmt.Errorf("PROVISION: %w", err)
		return
	}
	in := &instance{name: name, router: router, zero: us(facts.FamilyInfo.CountedFromUs),
		classes: map[string]int{}, tenants: map[string]int{}}
	for i := range cfg.Classes {
		in.classes[cfg.Classes[i].Name] = i
	}
	for i := range cfg.Tenants {
		in.tenants[cfg.Tenants[i].Name] = i
	}
	h.instances[name] = in
}

var (
	results = map[string]decide.Result{"pass": decide.Served, "fault": decide.Errored, "no_room": decide.Full,
		"too_slow": decide.TimedOut, "no_route": decide.Unreachable, "cut": decide.Reset,
		"undone": decide.Cancelled, "stale_send": decide.NotSent, "none_here": decide.Misdirected}
	lists = map[string]decide.EventKind{"Partial": decide.ListChange, "Complete": decide.ListFull,
		"Persisted": decide.ListSaved, "Error": decide.ListError}
)

// event translates one event of an instance.
func (h *host) event(name string, r *wire.Reader) {
	id := r.Need("FrontId")
	if r.Err != nil {
		return
	}
	in := h.instances[id]
	if in == nil {
		switch name {
		case "DISCOVERY", "JOB_IN", "HEAD_RECEIVED", "WAKE", "MAIL", "ENDED", "TIMED_OUT_CLIENT", "PROBE_DONE", "TEARDOWN":
			r.Err = fmt.Errorf("%s: unknown instance %q", name, id)
		default:
			r.Err = fmt.Errorf("unknown message %q", name)
		}
		return
	}
	var e decide.Event
	switch name {
	case "TEARDOWN":
		in.events = in.events[:0]
		delete(h.instances, id)
		return
	case "DISCOVERY":
		e.Kind = lookup(r, "How", r.Need("How"), lists)
		if e.Kind != decide.ListError {
			bank := r.Int("Bank")
			if r.Err == nil && (bank < 0 || int(bank) >= len(h.lists) || h.lists[bank] == nil) {
				r.Err = fmt.Errorf("DISCOVERY: no SHEET with Bank %d", bank)
				return
			}
			e.Members = h.lists[bank]
		}
	case "JOB_IN":
		h.arrival(&e, in, r)
	case "HEAD_RECEIVED":
		e.Kind, e.Request, e.Member, e.Attempt = decide.FirstByte, reqID(r), r.Need("Store"), int(r.Int("Hop"))
	case "WAKE":
		e.Kind = decide.Timer
	case "MAIL": // the routers send none
		return
	case "ENDED":
		e.Kind, e.Request, e.Member, e.Attempt = decide.Outcome, reqID(r), r.Need("Store"), int(r.Int("Hop"))
		e.Result = lookup(r, "Reason", r.Need("Reason"), results)
		e.Elapsed, e.Ended = us(r.OptInt("SpentUs")), r.Bool("Complete")
		in.note(&e, r.OptInt("PosRole"))
		in.report(&e, r)
	case "TIMED_OUT_CLIENT":
		e.Kind, e.Request = decide.ClientGone, reqID(r)
	case "PROBE_DONE":
		e.Kind, e.Member, e.Elapsed = decide.Probed, r.Need("Store"), us(r.OptInt("SpentUs"))
		e.Result = lookup(r, "Reason", r.Need("Reason"), results)
		in.report(&e, r)
	default:
		r.Err = fmt.Errorf("unknown message %q", name)
	}
	if r.Err != nil {
		return
	}
	if len(in.events) == 0 {
		h.busy = append(h.busy, in)
	}
	in.events = append(in.events, e)
}

func reqID(r *wire.Reader) uint64 {
	n := r.Int("Job")
	if r.Err == nil && (n < 0 || n >= 1<<32) {
		r.Err = fmt.Errorf("%s: field Job: %d is out of range", r.L.Name, n)
	}
	return uint64(n)
}

func (h *host) arrival(e *decide.Event, in *instance, r *wire.Reader) {
	e.Kind, e.Request, e.Session, e.IsRetry = decide.Arrive, reqID(r), r.Opt("User"), r.Bool("IsRetry")
	e.Group, e.Remaining = int64(r.OptNum("SetNo", 0)), us(r.Int("RemainingUs"))
	e.Class = lookup(r, "Band", r.Need("Band"), in.classes)
	e.Tenant = -1
	if p := r.Opt("Party"); p != "" && p != "0" {
		e.Tenant = lookup(r, "Party", p, in.tenants)
	}
	if age := r.OptNum("TokenAgeMs", 0); age > 0 {
		e.HasToken, e.TokenAge = true, time.Duration(math.Ceil(age*1000))*time.Microsecond
	}
}

// note splits the position and role of an answer.
func (in *instance) note(e *decide.Event, v int64) {
	switch v & 3 {
	case 1:
		e.Role = decide.Primary
	case 2:
		e.Role = decide.Replica
	}
	if ms := v >> 2; ms > 0 {
		e.HasPosition, e.Position = true, in.zero+time.Duration(ms)*time.Millisecond
	}
}

// report translates a load report and skips values it does not know.
func (in *instance) report(e *decide.Event, r *wire.Reader) {
	r.Load("Load", func(key string, v float64) { settings.SetReportFigure(&e.Report, in.zero, key, v) })
}

// reply runs the routers that had events and writes their actions.
func (h *host) reply(w *bufio.Writer) {
	for _, in := range h.busy {
		if h.instances[in.name] != in || len(in.events) == 0 {
			continue
		}
		in.actions = in.router.Step(h.now, in.events, in.actions[:0])
		in.events = in.events[:0]
		for i := range in.actions {
			in.write(w, &in.actions[i])
		}
	}
	_, _ = w.WriteString("END\n")
}

var verbs = map[decide.ActionKind]string{
	decide.Send: "DELIVER", decide.Cancel: "CANCEL", decide.Refuse: "TURN_AWAY", decide.Fail: "ERROR",
	decide.Probe: "SAMPLE", decide.Wake: "TIMER", decide.Watch: "FOLLOW",
	decide.Fetch: "LIST_ALL", decide.Notify: "EMIT",
}

// write puts one action on the wire; write errors show at the flush.
func (in *instance) write(w *bufio.Writer, a *decide.Action) {
	if a.Kind == decide.Notify && a.Text == "" {
		return
	}
	_, _ = fmt.Fprintf(w, "%s FrontId=%s", verbs[a.Kind], in.name)
	switch a.Kind {
	case decide.Send:
		_, _ = fmt.Fprintf(w, " Job=%d Store=%s", a.Request, a.Member)
		if a.Timeout != 0 {
			_, _ = fmt.Fprintf(w, " TryForUs=%d", a.Timeout.Microseconds())
		}
	case decide.Cancel:
		_, _ = fmt.Fprintf(w, " Job=%d Hop=%d", a.Request, a.Attempt)
	case decide.Refuse:
		_, _ = fmt.Fprintf(w, " Job=%d", a.Request)
		if a.RetryAfter > 0 {
			_, _ = fmt.Fprintf(w, " HoldOffUs=%d", a.RetryAfter.Microseconds())
		}
	case decide.Fail:
		_, _ = fmt.Fprintf(w, " Job=%d", a.Request)
	case decide.Probe:
		_, _ = fmt.Fprintf(w, " Store=%s", a.Member)
	case decide.Wake:
		_, _ = fmt.Fprintf(w, " TimeUs=%d Handle=sweep", a.At.Microseconds())
	case decide.Watch:
		_, _ = w.WriteString(" Want=1")
	case decide.Notify:
		_, _ = fmt.Fprintf(w, " ReasonText=%s", a.Text)
	}
	_ = w.WriteByte('\n')
}

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

// instance is one router, with the events of the present batch.
type instance struct {
	name           string
	router         *decide.Router
	events         []decide.Event
	actions        []decide.Action
	positionOrigin time.Duration
	classes        map[string]int
	tenants        map[string]int
}

// host holds the instances of this process and the state of the batch that is being read.
type host struct {
	inBatch        bool
	now            time.Duration
	instances      map[string]*instance
	pending        []*instance // those with events in this batch, in the order of their first event
	lists          [16][]decide.Member
	currentList    *[]decide.Member
	missingEntries int // STORE lines still to come
	parsed         wire.Line
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// handleLine handles one line and reports whether it completes a batch.
func (h *host) handleLine(s string) (bool, error) {
	if s == "" {
		return false, errors.New("empty line")
	}
	l := &h.parsed
	if err := l.Parse(s); err != nil {
		return false, err
	}
	r := &wire.Reader{Line: l}
	if (l.Name == "TURN") == h.inBatch {
		return false, fmt.Errorf("%s out of place", l.Name)
	}
	if (l.Name == "STORE") != (h.missingEntries > 0) {
		return false, fmt.Errorf("%s where %d STORE lines are due", l.Name, h.missingEntries)
	}
	switch l.Name {
	case "TURN":
		now := microseconds(r.Int("WallUs"))
		if r.Err == nil && now < h.now {
			return false, errors.New("TURN: the clock goes back")
		}
		h.inBatch, h.now, h.pending = true, now, h.pending[:0]
	case "FLUSH":
		h.inBatch = false
		return true, nil
	case "SHEET":
		h.beginList(r)
	case "STORE":
		h.addListEntry(r)
	case "PROVISION":
		h.createInstance(r)
	default:
		h.addEvent(l.Name, r)
	}
	return false, r.Err
}

func (h *host) beginList(r *wire.Reader) {
	bank, n := r.Int("Bank"), r.Int("Items")
	if r.Err == nil && (bank < 0 || int(bank) >= len(h.lists) || n < 0 || n > 1e6) {
		r.Err = fmt.Errorf("SHEET: Bank %d with %d Items", bank, n)
	}
	if r.Err != nil {
		return
	}
	h.lists[bank] = make([]decide.Member, 0, n) // routers may still hold the old one
	h.currentList, h.missingEntries = &h.lists[bank], int(n)
}

var states = map[string]decide.MemberState{
	"up": decide.Up, "draining": decide.Draining, "removed": decide.Removed,
}

func (h *host) addListEntry(r *wire.Reader) {
	m := decide.Member{
		ID: r.Text("Store"), Group: int64(r.OptNum("Db", 0)), Zone: r.OptText("Dc"), Kind: r.OptText("ClassOfHost"),
		Weight: r.OptNum("Heft", 1), Started: microseconds(r.OptInt("LaunchedUs")), Primary: r.OptNum("Leader", 0) == 1,
	}
	m.State = lookup(r, "State", r.Text("State"), states)
	*h.currentList = append(*h.currentList, m)
	h.missingEntries--
}

// lookup returns the value of a word in a table. An unknown word is an error.
func lookup[T any](r *wire.Reader, name, word string, table map[string]T) T {
	v, ok := table[word]
	if !ok && r.Err == nil {
		r.Err = fmt.Errorf("%s: field %s: unknown word %q", r.Line.Name, name, word)
	}
	return v
}

func (h *host) createInstance(r *wire.Reader) {
	name, seed := r.Text("FrontId"), r.Text("Seed")
	text := r.Text("Facts")
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
	in := &instance{name: name, router: router, positionOrigin: microseconds(facts.FamilyInfo.CountedFromUs),
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
	listKinds = map[string]decide.EventKind{"Partial": decide.ListChange, "Complete": decide.ListFull,
		"Persisted": decide.ListSaved, "Error": decide.ListError}
)

// addEvent translates an event and queues it for its instance.
func (h *host) addEvent(name string, r *wire.Reader) {
	id := r.Text("FrontId")
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
		e.Kind = lookup(r, "How", r.Text("How"), listKinds)
		if e.Kind != decide.ListError {
			bank := r.Int("Bank")
			if r.Err == nil && (bank < 0 || int(bank) >= len(h.lists) || h.lists[bank] == nil) {
				r.Err = fmt.Errorf("DISCOVERY: no SHEET with Bank %d", bank)
				return
			}
			e.Members = h.lists[bank]
		}
	case "JOB_IN":
		h.fillArrival(&e, in, r)
	case "HEAD_RECEIVED":
		e.Kind, e.Request, e.Member, e.Attempt = decide.FirstByte, requestID(r), r.Text("Store"), int(r.Int("Hop"))
	case "WAKE":
		e.Kind = decide.Timer
	case "MAIL": // messages between instances: routers send none
		return
	case "ENDED":
		e.Kind, e.Request, e.Member, e.Attempt = decide.Outcome, requestID(r), r.Text("Store"), int(r.Int("Hop"))
		e.Result = lookup(r, "Reason", r.Text("Reason"), results)
		e.Elapsed, e.Ended = microseconds(r.OptInt("SpentUs")), r.Bool("Complete")
		in.setRoleAndPosition(&e, r.OptInt("PosRole"))
		in.addReport(&e, r)
	case "TIMED_OUT_CLIENT":
		e.Kind, e.Request = decide.ClientGone, requestID(r)
	case "PROBE_DONE":
		e.Kind, e.Member, e.Elapsed = decide.Probed, r.Text("Store"), microseconds(r.OptInt("SpentUs"))
		e.Result = lookup(r, "Reason", r.Text("Reason"), results)
		in.addReport(&e, r)
	default:
		r.Err = fmt.Errorf("unknown message %q", name)
	}
	if r.Err != nil {
		return
	}
	if len(in.events) == 0 {
		h.pending = append(h.pending, in)
	}
	in.events = append(in.events, e)
}

func requestID(r *wire.Reader) uint64 {
	n := r.Int("Job")
	if r.Err == nil && (n < 0 || n >= 1<<32) {
		r.Err = fmt.Errorf("%s: field Job: %d is out of range", r.Line.Name, n)
	}
	return uint64(n)
}

func (h *host) fillArrival(e *decide.Event, in *instance, r *wire.Reader) {
	e.Kind, e.Request, e.Session, e.IsRetry = decide.Arrive, requestID(r), r.OptText("User"), r.Bool("IsRetry")
	e.Group, e.Remaining = int64(r.OptNum("SetNo", 0)), microseconds(r.Int("RemainingUs"))
	e.Class = lookup(r, "Band", r.Text("Band"), in.classes)
	e.Tenant = -1
	if p := r.OptText("Party"); p != "" && p != "0" {
		e.Tenant = lookup(r, "Party", p, in.tenants)
	}
	if age := r.OptNum("TokenAgeMs", 0); age > 0 {
		e.HasToken, e.TokenAge = true, time.Duration(math.Ceil(age*1000))*time.Microsecond
	}
}

// setRoleAndPosition decodes an answer's role, in the low two bits, and its position in ms, in the others.
func (in *instance) setRoleAndPosition(e *decide.Event, v int64) {
	switch v & 3 {
	case 1:
		e.Role = decide.Primary
	case 2:
		e.Role = decide.Replica
	}
	if ms := v >> 2; ms > 0 {
		e.HasPosition, e.Position = true, in.positionOrigin+time.Duration(ms)*time.Millisecond
	}
}

// addReport translates a load report. Unknown values are skipped.
func (in *instance) addReport(e *decide.Event, r *wire.Reader) {
	r.EachFigure("Load", func(key string, v float64) { settings.SetReportFigure(&e.Report, in.positionOrigin, key, v) })
}

// writeReply steps the routers that had events and writes their actions.
func (h *host) writeReply(w *bufio.Writer) {
	for _, in := range h.pending {
		if h.instances[in.name] != in || len(in.events) == 0 {
			continue
		}
		in.actions = in.router.Step(h.now, in.events, in.actions[:0])
		in.events = in.events[:0]
		for i := range in.actions {
			in.writeAction(w, &in.actions[i])
		}
	}
	_, _ = w.WriteString("END\n")
}

var messageNames = map[decide.ActionKind]string{
	decide.Send: "DELIVER", decide.Cancel: "CANCEL", decide.Refuse: "TURN_AWAY", decide.Fail: "ERROR",
	decide.Probe: "SAMPLE", decide.Wake: "TIMER", decide.Watch: "FOLLOW",
	decide.Fetch: "LIST_ALL", decide.Notify: "EMIT",
}

// writeAction writes one action as a line. Write errors are reported by the flush.
func (in *instance) writeAction(w *bufio.Writer, a *decide.Action) {
	if a.Kind == decide.Notify && a.Text == "" {
		return
	}
	_, _ = fmt.Fprintf(w, "%s FrontId=%s", messageNames[a.Kind], in.name)
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

package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"reachwind/internal/edgeconf"
	"reachwind/internal/fleet"
	"reachwind/internal/lab/load"
)

// Scenario is a timeline of faults and of what must hold. It is read from HCL or drawn from a seed, and written as HCL
// again, so that a draw that failed can be kept and played.
type Scenario struct {
	Size  int
	Zones []string
	Seeds int
	Loads []Load
	Steps []Step
	Holds []Hold
	Never []string // who must never be taken for failed
}

// Load asks a gateway at a rate from the start to the end of the timeline.
type Load struct {
	Node string
	Rate float64
	Part float64 // of the requests that must be served
}

// Step is what happens at a time.
type Step struct {
	Name                             string
	At                               time.Duration
	Links                            []LinkFault
	Heal                             bool
	Kill, Start, Pause, Resume, Wipe []string
}

// LinkFault is a fault of the links between some nodes and others.
type LinkFault struct {
	From, To []string
	Both     bool
	Link     Link
}

// Hold is what must have come about within a span after a time.
type Hold struct {
	Name    string
	At      time.Duration
	Within  time.Duration
	Of      []string
	Verdict string // empty: Of hold one view, in which exactly they are alive
}

const sizeMost = 60

// ReadScenario reads a file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	err := edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("group", false, func(b *edgeconf.Block) {
			s.Size = int(b.Int("size", 3, 2, sizeMost))
			s.Zones = b.Strings("zones")
			s.Seeds = int(b.Int("seeds", 2, 1, sizeMost))
		})
		b.Blocks("load", true, func(b *edgeconf.Block) {
			s.Loads = append(s.Loads, Load{b.Label, b.Number("rate", 20, 1, 2000), b.Number("served", 0, 0, 1)})
		})
		b.Blocks("step", true, func(b *edgeconf.Block) {
			st := Step{Name: b.Label, At: b.Duration("at", 0, 0, time.Hour), Heal: b.Bool("heal", false), Kill: b.Strings("kill"), Start: b.Strings("start"),
				Pause: b.Strings("pause"), Resume: b.Strings("resume"), Wipe: b.Strings("wipe")}
			b.Blocks("link", true, func(b *edgeconf.Block) {
				st.Links = append(st.Links, LinkFault{b.Strings("from"), b.Strings("to"), b.Bool("both", true), Link{Cut: b.Bool("cut", false),
					Delay: b.Duration("delay", 0, 0, 10*time.Second), Jitter: b.Duration("jitter", 0, 0, 10*time.Second), Loss: b.Number("loss", 0, 0, 1),
					Repeat: b.Number("repeat", 0, 0, 1), Reset: b.Bool("reset", false), Bandwidth: int(b.Size("bandwidth", 0, 0, 1<<30))}})
			})
			s.Steps = append(s.Steps, st)
		})
		b.Blocks("hold", true, func(b *edgeconf.Block) {
			h := Hold{Name: b.Label, At: b.Duration("at", 0, 0, time.Hour), Within: b.Duration("within", time.Minute, 0, time.Hour), Of: b.Strings("of"),
				Verdict: b.Enum("verdict", "", "", "whole", "minority", "alone")}
			if len(h.Of) == 0 {
				h.Of = []string{"*"}
			}
			s.Holds = append(s.Holds, h)
		})
		b.Blocks("never", false, func(b *edgeconf.Block) { s.Never = b.Strings("failed") })
		if s.Size == 0 {
			b.AddFault("no block group, want one with size and zones")
		}
		for _, st := range s.Steps {
			for _, l := range st.Links {
				s.check(b, slices.Concat(l.From, l.To))
			}
			s.check(b, slices.Concat(st.Kill, st.Start, st.Pause, st.Resume, st.Wipe))
		}
	})
	return s, err
}

// check finds names that nobody has.
func (s *Scenario) check(b *edgeconf.Block, names []string) {
	for _, name := range names {
		zone, ok := strings.CutPrefix(name, "zone:")
		var i int
		_, err := fmt.Sscanf(name, "gw-%d", &i)
		if name != "*" && !(ok && slices.Contains(s.Zones, zone)) && (err != nil || i < 0 || i >= s.Size) {
			b.AddFault("there is no %q, want gw-00 to gw-%02d, zone:NAME or *", name, s.Size-1)
		}
	}
}

// HCL writes the scenario as ReadScenario reads it.
func (s *Scenario) HCL() string {
	var b strings.Builder
	fmt.Fprintf(&b, "group {\n  size  = %d\n  zones = [%s]\n  seeds = %d\n}\n", s.Size, quoted(s.Zones), s.Seeds)
	for _, l := range s.Loads {
		fmt.Fprintf(&b, "load %q {\n  rate   = %g\n  served = %g\n}\n", l.Node, l.Rate, l.Part)
	}
	for _, st := range s.Steps {
		fmt.Fprintf(&b, "step %q {\n  at = %q\n", st.Name, st.At)
		for i, names := range [][]string{st.Kill, st.Start, st.Pause, st.Resume, st.Wipe} {
			if len(names) > 0 {
				fmt.Fprintf(&b, "  %s = [%s]\n", []string{"kill", "start", "pause", "resume", "wipe"}[i], quoted(names))
			}
		}
		if st.Heal {
			b.WriteString("  heal = true\n")
		}
		for i, l := range st.Links {
			fmt.Fprintf(&b, "  link \"%d\" {\n    from = [%s]\n    to = [%s]\n    both = %v\n    cut = %v\n    delay = %q\n    jitter = %q\n    loss = %g\n    repeat = %g\n    reset = %v\n    bandwidth = \"%dB\"\n  }\n",
				i, quoted(l.From), quoted(l.To), l.Both, l.Link.Cut, l.Link.Delay, l.Link.Jitter, l.Link.Loss, l.Link.Repeat, l.Link.Reset, l.Link.Bandwidth)
		}
		b.WriteString("}\n")
	}
	for _, h := range s.Holds {
		fmt.Fprintf(&b, "hold %q {\n  at = %q\n  within = %q\n  of = [%s]\n", h.Name, h.At, h.Within, quoted(h.Of))
		if h.Verdict != "" {
			fmt.Fprintf(&b, "  verdict = %q\n", h.Verdict)
		}
		b.WriteString("}\n")
	}
	if len(s.Never) > 0 {
		fmt.Fprintf(&b, "never {\n  failed = [%s]\n}\n", quoted(s.Never))
	}
	return b.String()
}

// Draw draws a scenario: faults of links and of processes one after another, some at once, and a heal at the end, after
// which all must hold one view.
func Draw(seed uint64, size int) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x7363656e))
	s := &Scenario{Size: size, Zones: []string{"a", "b", "c"}, Seeds: 2}
	name := func(i int) string { return fmt.Sprintf("gw-%02d", i) }
	some := func(k int) (names []string) {
		for _, i := range rng.Perm(size)[:k] {
			names = append(names, name(i))
		}
		return names
	}
	zone := func() string { return "zone:" + s.Zones[rng.IntN(len(s.Zones))] }
	s.Loads = []Load{{Node: name(0), Rate: 30}}
	at := 3 * time.Second
	var down, stopped []string
	for i := range 3 + rng.IntN(4) {
		st := Step{Name: fmt.Sprint("fault ", i), At: at}
		switch rng.IntN(8) {
		case 0:
			st.Links = []LinkFault{{From: some(1), To: some(1), Both: false, Link: Link{Cut: true}}}
		case 1:
			st.Links = []LinkFault{{From: []string{zone()}, To: []string{"*"}, Both: true, Link: Link{Cut: true}}}
		case 2:
			half := some(size / 2)
			st.Links = []LinkFault{{From: half, To: []string{"*"}, Both: true, Link: Link{Cut: true}}, {From: half, To: half, Both: true}}
		case 3:
			st.Links = []LinkFault{{From: []string{zone()}, To: []string{"*"}, Both: true,
				Link: Link{Delay: 400 * time.Millisecond, Jitter: 200 * time.Millisecond, Loss: 0.3, Repeat: 0.1}}}
		case 4:
			st.Links = []LinkFault{{From: some(1), To: []string{"*"}, Both: true, Link: Link{Reset: true, Bandwidth: 8 << 10, Loss: 0.05}}}
		case 5:
			st.Pause = some(1 + rng.IntN(max(1, size/2)))
			stopped = append(stopped, st.Pause...)
		case 6:
			st.Kill = some(1 + rng.IntN(max(1, size*7/10)))
			if rng.IntN(2) == 0 {
				st.Wipe = st.Kill
			}
			down = append(down, st.Kill...)
		case 7:
			st.Heal = true
			st.Resume, stopped = stopped, nil
			st.Start, down = down, nil
		}
		s.Steps = append(s.Steps, st)
		at += time.Duration(500+rng.IntN(9000)) * time.Millisecond
	}
	s.Steps = append(s.Steps, Step{Name: "all heals", At: at, Heal: true, Resume: stopped, Start: down})
	s.Holds = []Hold{{Name: "one view", At: at, Within: 90 * time.Second, Of: []string{"*"}}, {Name: "whole", At: at, Within: 3 * time.Minute, Of: []string{"*"}, Verdict: "whole"}}
	return s
}

// pick is the nodes that some names mean: names, "zone:x", or "*".
func (r *Rig) pick(names []string) (of []*Node) {
	for _, n := range r.Nodes {
		if slices.ContainsFunc(names, func(s string) bool { return s == "*" || s == n.Name || s == "zone:"+n.Zone }) {
			of = append(of, n)
		}
	}
	return of
}

// Play plays a scenario to its end and returns what did not hold. The rig must have been made by its Size, Zones and Seeds.
func (r *Rig) Play(s *Scenario) error {
	if err := r.StartAll(); err != nil {
		return err
	}
	if _, err := Until(time.Minute, func() error { return errors.Join(Common(r.Nodes), Verdicts(r.Nodes, "whole")) }); err != nil {
		return fmt.Errorf("before the timeline: %w", err)
	}
	began := time.Now()
	last := time.Duration(0)
	for _, st := range s.Steps {
		last = max(last, st.At)
	}
	for _, h := range s.Holds {
		last = max(last, h.At)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loads := make(chan error, len(s.Loads))
	for i, l := range s.Loads {
		go func() { loads <- r.load(ctx, l, last+5*time.Second, uint64(i)) }()
	}
	var errs []error
	holds := slices.Clone(s.Holds)
	slices.SortStableFunc(holds, func(a, b Hold) int { return int(a.At - b.At) })
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	hold := func(h Hold) {
		time.Sleep(time.Until(began.Add(h.At)))
		of := r.pick(h.Of)
		took, err := Until(h.Within, func() error {
			if h.Verdict != "" {
				return Verdicts(of, h.Verdict)
			}
			return Common(of)
		})
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: not within %v: %w", h.Name, h.Within, err))
		}
		r.note("%s held after %v, %v", h.Name, took, err)
	}
	for _, st := range steps {
		for len(holds) > 0 && holds[0].At < st.At {
			hold(holds[0])
			holds = holds[1:]
		}
		time.Sleep(time.Until(began.Add(st.At)))
		if err := r.step(&st); err != nil {
			errs = append(errs, err)
		}
	}
	for _, h := range holds {
		hold(h)
	}
	cancel()
	for range s.Loads {
		if err := <-loads; err != nil {
			errs = append(errs, err)
		}
	}
	for _, n := range r.Up() {
		all, err := n.Events()
		if err != nil {
			errs = append(errs, err)
		}
		if i := slices.IndexFunc(all, func(e fleet.Event) bool {
			return e.Kind == "peer" && e.State == "failed" && slices.Contains(s.Never, e.Peer)
		}); i >= 0 {
			errs = append(errs, fmt.Errorf("%s took %s for failed", n.Name, all[i].Peer))
		}
	}
	return errors.Join(errs...)
}

// step carries one step out.
func (r *Rig) step(st *Step) error {
	r.note("step %s", st.Name)
	if st.Heal {
		r.Heal()
	}
	for _, l := range st.Links {
		for _, a := range r.pick(l.From) {
			for _, b := range r.pick(l.To) {
				if a == b || slices.Contains(l.To, "*") && inAll(l.From, a, b) {
					continue
				}
				r.Set(a, b, l.Link)
				if l.Both {
					r.Set(b, a, l.Link)
				}
			}
		}
	}
	for _, n := range r.pick(st.Resume) {
		n.Pause(false)
	}
	for _, n := range r.pick(st.Kill) {
		n.Kill()
	}
	for _, n := range r.pick(st.Wipe) {
		if err := os.RemoveAll(n.Folder()); err != nil {
			return err
		}
	}
	for _, n := range r.pick(st.Pause) {
		n.Pause(true)
	}
	var err error
	for _, n := range r.pick(st.Start) {
		if n.P == nil {
			err = errors.Join(err, n.Start())
		}
	}
	return err
}

// inAll tells that both are among those that a fault is of: links between them are left.
func inAll(names []string, a, b *Node) bool {
	in := func(n *Node) bool {
		return slices.Contains(names, n.Name) || slices.Contains(names, "zone:"+n.Zone) || slices.Contains(names, "*")
	}
	return in(a) && in(b)
}

// load asks a gateway while it is up. Whatever the group does, who serves must be served.
func (r *Rig) load(ctx context.Context, l Load, span time.Duration, seed uint64) error {
	of := r.pick([]string{l.Node})
	if len(of) != 1 || of[0].P == nil {
		return fmt.Errorf("load: no gateway %q", l.Node)
	}
	res, err := load.Run(ctx, load.Config{Addr: of[0].P.Addr, Phases: []load.Phase{{Rate: l.Rate, For: span}}, Conns: 16, Groups: 2, Seed: seed, Prefix: fmt.Sprintf("s%d-", seed)})
	if err != nil {
		return err
	}
	if res.Planned > 0 && float64(res.Outcomes[0]) < l.Part*float64(res.Planned) {
		return fmt.Errorf("load: %d of %d served at %s, want %g", res.Outcomes[0], res.Planned, l.Node, l.Part)
	}
	return nil
}

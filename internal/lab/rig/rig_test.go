package rig

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"reachwind/internal/fleet"
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/lab/load"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-")
	if err == nil {
		program = filepath.Join(dir, "reachwind")
		out, e := exec.Command("go", "build", "-o", dir, "reachwind/cmd/reachwind", "reachwind/cmd/reachwind-council").CombinedOutput()
		if err = e; err != nil {
			fmt.Println(string(out))
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Println(err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

var errNone = errors.New("not yet")

// bound is generous: what must come about is asserted, not how soon.
const bound = 90 * time.Second

func newRig(t *testing.T, c Config) *Rig {
	t.Helper()
	c.Binary, c.Dir = program, t.TempDir()
	r, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(r.Timeline())
		}
		r.Close()
	})
	return r
}

func start(t *testing.T, c Config) *Rig {
	t.Helper()
	r := newRig(t, c)
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	return r
}

func until(t *testing.T, what string, held func() error) {
	t.Helper()
	took, err := Until(bound, held)
	if err != nil {
		t.Fatalf("%s: not after %v: %v", what, took, err)
	}
	t.Logf("%s after %v", what, took.Round(10*time.Millisecond))
}

// TestOneCut: three processes find each other, one is cut off and back: verdicts tell which side is whole, and the
// three come to one view again.
func TestOneCut(t *testing.T) {
	t.Parallel()
	r := start(t, Config{Size: 3, Seeds: 1, Zones: []string{"a", "b", "c"}})
	until(t, "one view", func() error { return Common(r.Nodes) })
	until(t, "all whole", func() error { return Verdicts(r.Nodes, "whole") })
	off := r.Nodes[2]
	r.Cut("gw-02 is alone", func(a, b *Node) bool { return a == off || b == off })
	until(t, "the one that is cut off knows it", func() error { return Verdicts(r.Nodes[2:], "alone") })
	until(t, "the others hold one view", func() error { return Common(r.Nodes[:2]) })
	if err := Verdicts(r.Nodes[:2], "whole"); err != nil {
		t.Error(err)
	}
	r.Heal()
	until(t, "one view again", func() error { return Common(r.Nodes) })
	until(t, "all whole again", func() error { return Verdicts(r.Nodes, "whole") })
	if err := r.Nodes[1].Stop(); err != nil {
		t.Error(err)
	}
	until(t, "who left is left", func() error {
		all, err := r.Nodes[0].Members()
		if err == nil && all[1].State != "left" {
			err = fmt.Errorf("gw-01 is %s", all[1].State)
		}
		return err
	})
}

// events are what some nodes wrote of a kind.
func events(t *testing.T, of []*Node, kind string, also func(fleet.Event) bool) (all []fleet.Event) {
	t.Helper()
	for _, n := range of {
		es, err := n.Events()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range es {
			if e.Kind == kind && also(e) {
				all = append(all, e)
			}
		}
	}
	return all
}

// nobodyFailed fails if a node took a peer for failed since a time; nodes' clocks must be the rig's.
func nobodyFailed(t *testing.T, r *Rig, since time.Time, what string) {
	t.Helper()
	if f := events(t, r.Up(), "peer", func(e fleet.Event) bool { return e.State == "failed" && e.WallNs > since.UnixNano() }); len(f) > 0 {
		t.Errorf("%s: %s was taken for failed by %s", what, f[0].Peer, f[0].Name)
	}
}

// nine starts three zones of three.
func nine(t *testing.T) *Rig {
	r := start(t, Config{Size: 9, Seeds: 2, Zones: []string{"a", "b", "c"}, Seed: 9})
	until(t, "one view", func() error { return Common(r.Nodes) })
	until(t, "all whole", func() error { return Verdicts(r.Nodes, "whole") })
	return r
}

// again waits for one view of all.
func again(t *testing.T, r *Rig) {
	t.Helper()
	until(t, "one view again", func() error { return Common(r.Nodes) })
	until(t, "all whole again", func() error { return Verdicts(r.Nodes, "whole") })
}

// TestLinks: cuts one way and in every shape, links that flap, lose and delay.
func TestLinks(t *testing.T) {
	t.Parallel()
	r := nine(t)
	a, b := r.Nodes[0], r.Nodes[1]
	began := time.Now()
	r.Cut("gw-00 does not reach gw-01", func(x, y *Node) bool { return x == a && y == b })
	time.Sleep(12 * time.Second) // who is reached by way of others is there
	nobodyFailed(t, r, began, "a cut one way between two of nine")
	bridge := r.Nodes[4]
	r.Cut("two halves see each other by gw-04 only", func(x, y *Node) bool {
		return x != bridge && y != bridge && (x.Name < bridge.Name) != (y.Name < bridge.Name)
	})
	time.Sleep(12 * time.Second)
	r.Heal()
	again(t, r)
	if f := events(t, r.Nodes, "peer", func(e fleet.Event) bool { return e.State == "failed" && e.Peer == bridge.Name }); len(f) > 0 {
		t.Errorf("the bridge, which all reached, was taken for failed: %+v", f[0])
	}
	side := func(n *Node, of int) int { return int(n.Name[4]-'0') * of / 9 }
	r.Cut("5 and 4", func(x, y *Node) bool { return (x.Name < "gw-05") != (y.Name < "gw-05") })
	until(t, "the four know that they are few", func() error { return Verdicts(r.Nodes[5:], "minority") })
	until(t, "the five hold one view", func() error { return Common(r.Nodes[:5]) })
	if err := Verdicts(r.Nodes[:5], "whole"); err != nil {
		t.Error(err)
	}
	r.Heal()
	again(t, r)
	r.Cut("3, 3 and 3, by zone", func(x, y *Node) bool { return x.Zone != y.Zone })
	until(t, "nobody is whole", func() error { return Verdicts(r.Nodes, "minority") })
	r.Heal()
	again(t, r)
	for range 3 { // flapping: it settles afterwards
		r.Cut("for a moment", func(x, y *Node) bool { return side(x, 3) != side(y, 3) })
		time.Sleep(2 * time.Second)
		r.Heal()
		time.Sleep(time.Second)
	}
	again(t, r)
	for _, x := range r.Nodes {
		for _, y := range r.Nodes {
			if x.Zone == "b" && y.Zone != "b" {
				r.Set(x, y, Link{Delay: 400 * time.Millisecond, Jitter: 100 * time.Millisecond, Loss: 0.3, Repeat: 0.1})
				r.Set(y, x, Link{Delay: 400 * time.Millisecond, Jitter: 100 * time.Millisecond, Loss: 0.3, Repeat: 0.1})
			}
		}
	}
	time.Sleep(15 * time.Second)
	r.Heal()
	again(t, r)
}

// TestProcesses: pauses, kills, names held twice, old folders, keys that change, junk.
func TestProcesses(t *testing.T) {
	t.Parallel()
	r := nine(t)
	p := r.Nodes[3]
	p.Pause(true)
	time.Sleep(5 * time.Second)
	p.Pause(false)
	time.Sleep(2 * time.Second)
	if blamed := events(t, []*Node{p}, "peer", func(e fleet.Event) bool { return e.State == "suspect" || e.State == "failed" }); len(blamed) > 0 {
		t.Errorf("who was stopped for 5 s blames others: %+v", blamed[0])
	}
	if len(events(t, []*Node{p}, "paused", func(fleet.Event) bool { return true })) == 0 {
		t.Error("who was stopped did not notice")
	}
	again(t, r)
	for _, n := range r.Nodes[:4] {
		n.Pause(true)
	}
	time.Sleep(5 * time.Second)
	for _, n := range r.Nodes[:4] {
		n.Pause(false)
	}
	again(t, r)

	copied := r.Nodes[2] // its folder as it was before another start
	kept, err := os.ReadFile(filepath.Join(copied.Folder(), "epoch"))
	if err != nil {
		t.Fatal(err)
	}
	copied.Kill()
	if err := copied.Start(); err != nil {
		t.Fatal(err)
	}
	again(t, r)
	for _, n := range r.Nodes[2:8] { // most at once, back with nothing but seeds, one with its folder, two with an old one
		n.Kill()
	}
	copied.Offset = -2 * time.Hour
	if err := errors.Join(os.RemoveAll(copied.Folder()), os.Mkdir(copied.Folder(), 0o700), os.WriteFile(filepath.Join(copied.Folder(), "epoch"), kept, 0o600)); err != nil {
		t.Fatal(err)
	}
	old := r.Nodes[3]
	for _, n := range r.Nodes[4:8] {
		if err := os.RemoveAll(n.Folder()); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(old.Folder(), "epoch"), []byte("1 5 ffffffff\n"), 0o600); err != nil { // torn
		t.Fatal(err)
	}
	old.Offset = -time.Hour // and its clock went back: its epoch is an old one
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	again(t, r)

	keys := r.Nodes[0].keys
	next, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for _, n := range r.Nodes[:5] { // half have the new key first, the others know the old one only
		if err := n.SetKeys(next + keys); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(8 * time.Second)
	nobodyFailed(t, r, began, "a change of keys half way")
	for _, n := range r.Nodes[5:] {
		if err := n.SetKeys(next + keys); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(4 * time.Second)
	for _, n := range r.Nodes {
		if err := n.SetKeys(next); err != nil {
			t.Fatal(err)
		}
	}
	again(t, r)

	began = time.Now()
	sent, err := r.Junk(r.Nodes[6], 100*time.Microsecond, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	nobodyFailed(t, r, began, "under junk")
	v, err := r.Nodes[6].View()
	if err != nil {
		t.Fatal(err)
	}
	if c := v.Counts; c["unauthentic"] == 0 || c["repeated"] == 0 {
		t.Errorf("of %d junk datagrams were counted %v", sent, c)
	}
}

// TestLong: a zone cut off for a minute and for a moment, in turn; a process stopped for 1 s is not missed, one stopped
// for 30 s is failed, blames nobody when it goes on, and is a peer again.
func TestLong(t *testing.T) {
	t.Parallel()
	r := start(t, Config{Size: 6, Seeds: 2, Zones: []string{"a", "b", "c"}, Seed: 12})
	again(t, r)
	for _, span := range []time.Duration{60 * time.Second, 2 * time.Second} {
		r.Cut("zone a", func(x, y *Node) bool { return (x.Zone == "a") != (y.Zone == "a") })
		began := time.Now()
		if span > 10*time.Second {
			until(t, "the zone knows that it is few", func() error { return Verdicts([]*Node{r.Nodes[0], r.Nodes[3]}, "minority") })
			until(t, "the others hold one view", func() error { return Common([]*Node{r.Nodes[1], r.Nodes[2], r.Nodes[4], r.Nodes[5]}) })
		}
		time.Sleep(time.Until(began.Add(span)))
		r.Heal()
		again(t, r)
	}
	p := r.Nodes[4]
	began := time.Now()
	blames := func() []fleet.Event {
		return events(t, []*Node{p}, "peer", func(e fleet.Event) bool { return e.State == "failed" && e.WallNs > began.UnixNano() })
	}
	p.Pause(true)
	time.Sleep(time.Second)
	p.Pause(false)
	time.Sleep(6 * time.Second)
	nobodyFailed(t, r, began, "a pause of 1 s")
	p.Pause(true)
	until(t, "who is stopped for long is failed", func() error {
		all, err := r.Nodes[0].Members()
		if err == nil && all[4].State != "failed" {
			err = fmt.Errorf("%s is %s", all[4].Name, all[4].State)
		}
		return err
	})
	time.Sleep(time.Until(began.Add(38 * time.Second)))
	p.Pause(false)
	again(t, r)
	if b := blames(); len(b) > 0 {
		t.Errorf("who was stopped for 30 s took %s for failed", b[0].Peer)
	}
}

// TestNames: of two processes under one name the later is the peer; the earlier knows it, serves, and has its name
// back when the other is gone.
func TestNames(t *testing.T) {
	t.Parallel()
	r := start(t, Config{Size: 3, Seeds: 2, Seed: 6, Cost: true})
	again(t, r)
	twin := r.Nodes[2]
	dir := t.TempDir()
	second := *twin // a second process under its name, later
	second.Dir, second.P = dir, nil
	ports, err := freePorts(2)
	if err != nil {
		t.Fatal(err)
	}
	second.Listen, second.Admin, second.Clients = ports[0], ports[1], "127.0.0.1:0"
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	defer second.Kill()
	until(t, "the earlier one knows that it is displaced", func() error {
		if len(events(t, []*Node{twin}, "displaced", func(fleet.Event) bool { return true })) == 0 {
			return errors.New("no event tells that the name is held twice")
		}
		return Verdicts([]*Node{twin}, "alone")
	})
	second.Kill()
	again(t, r) // the earlier one takes its name back
}

// TestLies: peers that hold the key claim that a healthy primary is dead, that peers failed, and send what nobody
// knows. Nothing goes out of use for it, and requests are served.
func TestLies(t *testing.T) {
	t.Parallel()
	r := start(t, Config{Size: 3, Seeds: 3, Zones: []string{"a", "b", "c"}, Seed: 3})
	until(t, "one view", func() error { return Common(r.Nodes) })
	var liars []*Puppet
	for i := range 3 {
		p, err := r.Puppet(fmt.Sprint("liar-", i), string(rune('x'+i)))
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		liars = append(liars, p)
	}
	until(t, "liars are peers", func() error {
		all, err := r.Nodes[0].Members()
		if err == nil && len(all) != 6 {
			err = fmt.Errorf("%d members", len(all))
		}
		return err
	})
	primary := r.Cluster.Primary(0).ID
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			for _, p := range liars {
				p.Say(primary, observation.Silent)
				if victim, ok := p.Peer("gw-01"); ok {
					p.Accuse(swim.Claim{Name: "gw-01", Epoch: victim.Epoch, Incarnation: []uint32{victim.Incarnation, victim.Incarnation + 3, math.MaxUint32}[i%3],
						State: []swim.State{swim.Failed, swim.Suspect, swim.Left}[i%3], SuspectedBy: "x"})
				}
				p.Raw([]byte{200, 1, 2, 3})                            // a kind of a version to come
				p.Raw(append([]byte{1}, 0xbf, 0x61, 0x61, 0x01, 0xff)) // not read
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	res, err := load.Run(t.Context(), load.Config{Addr: r.Nodes[0].P.Addr, Phases: []load.Phase{{Rate: 100, For: 10 * time.Second}}, Conns: 16, Groups: 2, Seed: 7, Prefix: "lie"})
	if err != nil {
		t.Fatal(err)
	}
	if served := res.Outcomes[0]; served < res.Planned*98/100 {
		t.Errorf("%d of %d served: %v", served, res.Planned, res.Outcomes)
	}
	cancel()
	if out := events(t, r.Nodes, "member", func(e fleet.Event) bool { return e.Member == primary && e.State == "silent" }); len(out) > 0 {
		t.Errorf("a healthy primary went out of use by claims: %+v", out[0])
	}
	if looks := events(t, r.Nodes, "look", func(e fleet.Event) bool { return e.Member == primary }); len(looks) == 0 {
		t.Error("three independent claims led to no look")
	}
	for _, n := range r.Nodes {
		v, err := n.View()
		if err != nil {
			t.Fatal(err)
		}
		if v.Counts["unknown_kind"] == 0 || v.Counts["garbled"] == 0 {
			t.Errorf("%s: frames of no known kind are not counted: %v", n.Name, v.Counts)
		}
	}
	until(t, "the one accused denies it", func() error {
		all, err := r.Nodes[0].Members()
		if err == nil {
			for _, m := range all {
				if m.Name == "gw-01" && m.State != "alive" {
					err = fmt.Errorf("gw-01 is %s", m.State)
				}
			}
		}
		return err
	})
}

// TestSeeds: seeds that are dead, stale or of a foreign group find nobody, and harm nobody; the gateway serves.
func TestSeeds(t *testing.T) {
	t.Parallel()
	r := start(t, Config{Size: 2, Seeds: 2, Seed: 4})
	until(t, "one view", func() error { return Common(r.Nodes) })
	foreign := start(t, Config{Size: 1, Seed: 5})
	lost := foreign.Nodes[0]
	lost.Kill()
	lost.SetSeeds([]string{r.Nodes[0].Listen, "127.0.0.1:1"}) // another group's, and one where nobody is
	if err := lost.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, "who finds nobody is alone", func() error { return Verdicts(foreign.Nodes, "alone") })
	res, err := load.Run(t.Context(), load.Config{Addr: lost.P.Addr, Phases: []load.Phase{{Rate: 100, For: 3 * time.Second}}, Conns: 16, Groups: 2, Seed: 7, Prefix: "alone"})
	if err != nil {
		t.Fatal(err)
	}
	if served := res.Outcomes[0]; served < res.Planned*98/100 {
		t.Errorf("alone, %d of %d served: %v", served, res.Planned, res.Outcomes)
	}
	until(t, "the group has one view", func() error { return Common(r.Nodes) })
	v, err := r.Nodes[0].View()
	if err != nil || v.Counts["unknown_key"] == 0 {
		t.Errorf("messages of a foreign group are not counted: %v, %v", v.Counts, err)
	}
}

// TestScenarios: a draw written as HCL is read as the same; the example is read; faults are told; a small draw holds.
func TestScenarios(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "s.hcl")
	for seed := range uint64(50) {
		s := Draw(seed, 5)
		if err := os.WriteFile(path, []byte(s.HCL()), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadScenario(path)
		if err != nil || got.HCL() != s.HCL() {
			t.Fatalf("seed %d: %v, read as\n%s", seed, err, got.HCL())
		}
	}
	if _, err := ReadScenario("../../../example/scenarios/zone-cut.hcl"); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(path, []byte("group {\n size = 3\n zones = [\"a\"]\n}\nstep \"x\" {\n kill = [\"gw-07\"]\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), `there is no "gw-07"`) {
		t.Errorf("a name that nobody has: %v", err)
	}
	s := Draw(2, 4)
	r, err := New(Config{Binary: program, Dir: t.TempDir(), Size: s.Size, Zones: s.Zones, Seeds: s.Seeds, Seed: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.Play(s); err != nil {
		t.Errorf("%v\n%s\n%s", err, s.HCL(), r.Timeline())
	}
}

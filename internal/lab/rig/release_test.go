package rig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/fleet"
	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/council"
	"reachwind/internal/lab/load"
	"reachwind/internal/standin/cluster"
)

// seat starts a council of three, which ends with the test, and waits until one leads.
func seat(t *testing.T, seed uint64, zones ...string) *Council {
	t.Helper()
	c, err := NewCouncil(program, t.TempDir(), 3, seed, zones...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs())
		}
		c.Close()
	})
	if _, err := c.Seated(bound); err != nil {
		t.Fatal(err)
	}
	return c
}

// fleetOf starts a council of three and some gateways that know it, of version 1.
func fleetOf(t *testing.T, size int, seed uint64) (*Council, *Rig) {
	t.Helper()
	c := seat(t, seed)
	r := newRig(t, Config{Size: size, Seeds: 2, Seed: seed, Zones: []string{"a", "b", "c"}, Cost: true, Council: c.Listens(), Keys: c.Keys()})
	for _, n := range r.Nodes {
		n.Version = "1"
	}
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	until(t, "the council knows all gateways", func() error {
		st, err := c.State()
		if err == nil && len(gateways(st)) != size {
			err = fmt.Errorf("%d are known", len(gateways(st)))
		}
		return err
	})
	return c, r
}

func gateways(st council.Status) (all []agreed.Target) {
	for _, g := range st.Targets {
		if strings.HasPrefix(g.Name, "gateway/") {
			all = append(all, g)
		}
	}
	return all
}

// must runs a command against the council and fails on another exit code than wanted.
func must(t *testing.T, c *Council, want int, args ...string) string {
	t.Helper()
	code, out := c.Run(args...)
	if code != want {
		t.Errorf("%v: exit %d, want %d: %s", args, code, want, out)
	}
	return out
}

// writePlan writes a plan that replaces gateways.
func writePlan(t *testing.T, p *Replacer, more string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plan.hcl")
	text := fmt.Sprintf("release \"v2\" {\n  version = \"2\"\n  former = \"1\"\n  command = %s\n  back = %s\n  term = \"40s\"\n%s}\n", p.Command(), p.Command(), more)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const (
	planSteps  = "  step \"canary\" {\n    count = 1\n    pause = \"500ms\"\n  }\n  step \"rest\" {\n    share = 1\n  }\n"
	planHealth = "  health {\n    requests = 30\n    refused = 0.1\n    late = 0.9\n    p99_times = 100\n    within = \"80s\"\n  }\n"
)

// spawn starts a command of the council whose output is kept, and ends it with the test.
func spawn(t *testing.T, c *Council, args ...string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := c.Command(args...)
	out := new(bytes.Buffer)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = time.Second
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	return cmd, out
}

// asks keeps some load on all gateways until the returned function, which gives what came of it.
func asks(t *testing.T, r *Rig, rate float64, span time.Duration, prefix string) func() *load.Result {
	done := make(chan *load.Result, 1)
	go func() {
		res, err := load.Run(t.Context(), load.Config{Addrs: r.Addrs(), Phases: []load.Phase{{Rate: rate, For: span}}, Conns: 24, Groups: 2, Seed: 3, Prefix: prefix})
		if err != nil {
			t.Error(err)
		}
		done <- res
	}()
	return func() *load.Result { return <-done }
}

// versions tells whether all gateways are of a version.
func versions(c *Council, want string) func() error {
	return func() error {
		st, err := c.State()
		for _, g := range gateways(st) {
			if g.Version != want || g.Out {
				err = fmt.Errorf("%s is of version %s, out %v", g.Name, g.Version, g.Out)
			}
		}
		return err
	}
}

// release is a release as the council has it.
func release(c *Council, state string) func() error {
	return func() error {
		st, err := c.State()
		if err != nil || len(st.Releases) == 0 {
			return errors.Join(err, errNone)
		}
		if got := st.Releases[0]; got.State != state {
			return fmt.Errorf("%s, want %s: %s", got.State, state, got.Reason)
		}
		return nil
	}
}

// TestRelease: a release under load whose driver is killed, then stopped past its term, and whose leader is killed: another
// driver goes on, each target goes out exactly once, never more than the budget, no request is lost by it. Then back.
func TestRelease(t *testing.T) {
	t.Parallel()
	c, r := fleetOf(t, 5, 21)
	p, err := r.NewReplacer(filepath.Join(t.TempDir(), "ops"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	must(t, c, 0, "budget", "set", "--of", "gateways", "--most", "1")
	plan := writePlan(t, p, "  together = 2\n"+planSteps+planHealth)
	if out := must(t, c, 0, "release", "plan", plan); !strings.Contains(out, "canary") {
		t.Errorf("the plan is told as %s", out)
	}
	load := asks(t, r, 120, 60*time.Second, "rel")
	first, _ := spawn(t, c, "release", "run", plan)
	until(t, "one is out", func() error {
		if len(p.Outages()) == 0 {
			return errNone
		}
		return nil
	})
	_ = first.Process.Kill()
	second, _ := spawn(t, c, "release", "run", "v2")
	third, out := spawn(t, c, "release", "run", "v2")
	outs := func(n int) func() error {
		return func() error {
			if k := len(p.Outages()); k < n {
				_, told := c.Run("status")
				return fmt.Errorf("%d went out so far: %s", k, told)
			}
			return nil
		}
	}
	until(t, "another driver goes on", outs(2))
	_ = second.Process.Signal(syscall.SIGSTOP)
	l, err := c.Leader()
	if err != nil {
		t.Fatal(err)
	}
	l.Kill()
	until(t, "the release goes on without that driver and that leader", outs(4))
	_ = second.Process.Signal(syscall.SIGCONT)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, "done", release(c, agreed.Finished))
	until(t, "all are of the new version", versions(c, "2"))
	_ = third.Wait()
	if code := third.ProcessState.ExitCode(); code != 0 {
		t.Errorf("a driver of a release that is done ends with %d: %s", code, out)
	}
	most, times := p.Most()
	if most > 1 || len(times) != 5 {
		t.Errorf("%d were out at once, budget 1; %v", most, times)
	}
	for what, n := range times {
		if n != 1 {
			t.Errorf("%s went out %d times", what, n)
		}
	}
	res := load()
	if lost := res.Planned - res.Outcomes[0]; lost > res.Planned/50 {
		t.Errorf("%d of %d not served through the release: %v, %d unsent", lost, res.Planned, res.Outcomes, res.Unsent)
	}
	t.Logf("%d planned, %v by outcome, %d unsent", res.Planned, res.Outcomes, res.Unsent)
	back, _ := spawn(t, c, "release", "back", "v2")
	until(t, "one went back", outs(6))
	must(t, c, 0, "release", "halt", "v2", "--reason", "changed my mind") // halt during going back
	until(t, "halted on the way back", release(c, agreed.Halted))
	_ = back.Wait()
	if code := back.ProcessState.ExitCode(); code == 0 {
		t.Error("a driver whose release was halted ends with 0")
	}
	n := len(p.Outages())
	time.Sleep(2 * time.Second)
	if now := len(p.Outages()); now != n {
		t.Errorf("%d went out after the halt", now-n)
	}
	resumed, _ := spawn(t, c, "release", "resume", "v2")
	until(t, "back", release(c, agreed.RolledBack))
	until(t, "all are of the former version", versions(c, "1"))
	_ = resumed.Wait()
	if most, _ := p.Most(); most > 1 {
		t.Errorf("%d were out at once on the way back", most)
	}
	if out := must(t, c, 0, "history"); !strings.Contains(out, "release halt") || !strings.Contains(out, "target out") {
		t.Errorf("the history has no halt or no target: %s", out)
	}
}

// TestBadReleases: a version that refuses one class only stays at its canary and goes back by itself; one that does not come
// up, or comes back as another version, halts the release there.
func TestBadReleases(t *testing.T) {
	t.Parallel()
	c, r := fleetOf(t, 4, 22)
	p, err := r.NewReplacer(filepath.Join(t.TempDir(), "ops"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Before = func(n *Node, version string) error {
		n.Edit = nil
		if version == "2" {
			n.Edit = func(b []byte) []byte { // map-edits are over before they begin
				at := bytes.LastIndex(b[:bytes.Index(b, []byte(`"Effect": "by_key"`))], []byte(`"DeadlineUs": 3000000`))
				return slices.Concat(b[:at], []byte(`"DeadlineUs": 1000`), b[at+len(`"DeadlineUs": 3000000`):])
			}
		}
		return nil
	}
	must(t, c, 0, "budget", "set", "--of", "gateways", "--most", "1")
	load := asks(t, r, 150, 40*time.Second, "bad")
	run, out := spawn(t, c, "release", "run", writePlan(t, p, "  on_halt = \"back\"\n"+planSteps+planHealth))
	until(t, "it went back by itself", release(c, agreed.RolledBack))
	_ = run.Wait()
	if _, times := p.Most(); len(times) != 2 || run.ProcessState.ExitCode() == 0 {
		t.Errorf("a version that refuses a class came further than its canary: %v, exit %d, %s", times, run.ProcessState.ExitCode(), out)
	}
	load()

	p.Before = func(*Node, string) error { return errors.New("it does not come up") }
	path := writePlan(t, p, planSteps)
	text, _ := os.ReadFile(path)
	_ = os.WriteFile(path, bytes.Replace(text, []byte(`"v2"`), []byte(`"v3"`), 1), 0o600)
	must(t, c, 1, "release", "run", path)
	if out := must(t, c, 0, "release", "watch", "v3"); !strings.Contains(out, "halted") || !strings.Contains(out, "failed") {
		t.Errorf("a target that does not come up: %s", out)
	}
	until(t, "who did not come up is out", func() error {
		code, out := c.Run("permit", "gateway/gw-03", "--for", "5s", "--", "true")
		if code != 75 {
			return fmt.Errorf("exit %d: %s", code, out)
		}
		return nil
	})
}

// TestDrain: a gateway asked to drain has a permit first, refuses connections once it is out, answers what it took, holds its
// permit while it is out, comes back by steps, and is called back where others fail; without a council it does not go out.
func TestDrain(t *testing.T) {
	t.Parallel()
	c, r := fleetOf(t, 3, 23)
	until(t, "all are whole", func() error { return Verdicts(r.Nodes, "whole") })
	must(t, c, 0, "budget", "set", "--of", "gateways", "--most", "1")
	load := asks(t, r, 100, 25*time.Second, "drn")
	a, b := r.Nodes[0], r.Nodes[1]
	gw := func(want int, n *Node, args ...string) string {
		t.Helper()
		cmd := exec.Command(program, append([]string{"fleet", "--admin", n.Admin}, args...)...)
		out, err := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != want {
			t.Errorf("%v: exit %d, want %d: %s %v", args, code, want, out, err)
		}
		return string(out)
	}
	gw(0, a, "drain", "--for", "6s", "--reason", "a test")
	v, err := a.View()
	if err != nil || v.Drain.State != "out" || v.Drain.Fence == 0 {
		t.Errorf("after its drain: %+v, %v", v.Drain, err)
	}
	if out := gw(75, b, "drain", "--wait", "1s"); !strings.Contains(out, "gateway/gw-00") {
		t.Errorf("the refusal does not name who is out: %s", out)
	}
	if _, err := client.Get("http://" + a.Clients); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("who is out takes connections: %v", err)
	}
	time.Sleep(7 * time.Second) // past its first term: it was renewed
	if v, err := a.View(); err != nil || v.Drain.State != "out" {
		t.Errorf("past its first term: %+v, %v", v.Drain, err)
	}
	gw(0, a, "undrain")
	until(t, "its permit is given back", func() error {
		st, err := c.State()
		if err == nil && len(st.Permits) > 0 {
			err = fmt.Errorf("%+v", st.Permits)
		}
		return err
	})
	res := load()
	if lost := res.Planned - res.Outcomes[0]; lost > res.Planned/50 {
		t.Errorf("%d of %d not served through the drain: %v, %d unsent", lost, res.Planned, res.Outcomes, res.Unsent)
	}
	t.Logf("%d planned, %v by outcome, %d unsent", res.Planned, res.Outcomes, res.Unsent)
	gw(0, b, "drain", "--for", "60s")
	r.Nodes[2].Kill()
	until(t, "it is called back as another one failed", func() error {
		v, err := b.View()
		if err == nil && (v.Drain.Recalls == 0 || v.Drain.State != "serving") {
			err = fmt.Errorf("%+v", v.Drain)
		}
		return err
	})
	for _, s := range c.Seats { // the council is down during a wave of SIGTERM
		s.Pause(true)
	}
	began := time.Now()
	for _, n := range r.Up() {
		if err := n.Stop(); err != nil {
			t.Errorf("%s: %v", n.Name, err)
		}
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("two gateways took %v to end without a council", took)
	}
	for _, n := range r.Nodes[:2] {
		if len(events(t, []*Node{n}, "unasked", func(fleet.Event) bool { return true })) != 1 {
			t.Errorf("%s ended without a permit and does not tell", n.Name)
		}
	}
}

// TestMembersOut: gateways list a member that is permitted to go out as draining while the permit lasts, never the last of
// its group; the command starts after that and the permit is given back once the member is seen back.
func TestMembersOut(t *testing.T) {
	t.Parallel()
	c, r := fleetOf(t, 2, 24)
	load := asks(t, r, 150, 30*time.Second, "mem")
	until(t, "the council knows the members", func() error {
		st, err := c.State()
		caught := 0
		for _, g := range st.Targets {
			if g.CaughtUp {
				caught++
			}
		}
		if err == nil && caught != 4 {
			err = fmt.Errorf("%d replicas are caught up: %+v", caught, st.Targets)
		}
		return err
	})
	var victim *cluster.Member
	for _, m := range r.Cluster.Members() {
		if m.Group == 0 && m != r.Cluster.Primary(0) {
			victim = m
		}
	}
	mark := filepath.Join(t.TempDir(), "go")
	hold, out := spawn(t, c, "permit", "db/"+victim.ID, "--for", "60s", "--", "sh", "-c", "touch "+mark+"; while [ -e "+mark+" ]; do sleep 0.05; done")
	until(t, "the command runs", func() error { _, err := os.Stat(mark); return err })
	for _, n := range r.Nodes {
		v, err := n.View()
		if err != nil || len(v.MembersDraining) != 1 || v.MembersDraining[0] != victim.ID {
			t.Errorf("%s lists %v as draining when the command runs, want %s: %v", n.Name, v.MembersDraining, victim.ID, err)
		}
	}
	victim.Kill()
	time.Sleep(2 * time.Second)
	if err := victim.Restart(); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(mark)
	_ = hold.Wait()
	if code := hold.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the command's end is told as %d: %s", code, out)
	}
	until(t, "gateways use it again", func() error {
		v, err := r.Nodes[0].View()
		if err == nil && len(v.MembersDraining) > 0 {
			err = fmt.Errorf("%v", v.MembersDraining)
		}
		return err
	})
	res := load()
	if lost := res.Planned - res.Outcomes[0]; lost > res.Planned/50 {
		t.Errorf("%d of %d not served while a member was out: %v", lost, res.Planned, res.Outcomes)
	}
}

// TestVoters: a voter whose folder was lost is another one and is replaced; an old copy of a folder does not go on; of a
// council that lost its majority for good one folder makes a new one, not by accident, with what was out still out.
func TestVoters(t *testing.T) {
	t.Parallel()
	c := seat(t, 25)
	must(t, c, 0, "budget", "set", "--of", "gateways", "--most", "1")
	old := c.Seats[2]
	copied := filepath.Join(t.TempDir(), "copy")
	old.Kill()
	if err := os.CopyFS(copied, os.DirFS(old.Folder())); err != nil {
		t.Fatal(err)
	}
	if err := old.Start(); err != nil { // a life that the copy knows nothing of
		t.Fatal(err)
	}
	until(t, "it is heard in its new life", func() error {
		for _, s := range c.Seats[:2] {
			st, err := s.Status()
			if err != nil {
				return err
			}
			for _, v := range st.Voters {
				if v.Name == old.Name && (v.HeardMs < 0 || v.HeardMs > 1500) {
					return fmt.Errorf("%s heard it %d ms ago", s.Name, v.HeardMs)
				}
			}
		}
		return nil
	})
	time.Sleep(2 * time.Second)
	old.Kill()
	if err := errors.Join(os.RemoveAll(old.Folder()), os.CopyFS(old.Folder(), os.DirFS(copied))); err != nil {
		t.Fatal(err)
	}
	if err := old.Start(); err == nil {
		until(t, "who goes on from an old copy ends", func() error {
			if _, err := old.Status(); err == nil {
				return errNone
			}
			if log := old.P.Log(); !strings.Contains(log, "old copy") {
				return fmt.Errorf("it ended with %s", log[max(0, len(log)-300):])
			}
			return nil
		})
	}
	old.Kill()
	must(t, c, 0, "voter", "remove", old.Name)
	fourth, err := c.Spare(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := fourth.Start(); err != nil {
		t.Fatal(err)
	}
	must(t, c, 0, "voter", "add", fourth.Name, "--at", fourth.Admin)
	mark := filepath.Join(t.TempDir(), "go")
	hold, _ := spawn(t, c, "permit", "gateway/gw-1", "--for", "60s", "--wait", "20s", "--", "sh", "-c", "touch "+mark+"; sleep 100")
	until(t, "a permit is held", func() error { _, err := os.Stat(mark); return err })
	c.Seats[0].Kill() // the new voter counts: it and one other are a majority
	must(t, c, 75, "permit", "gateway/gw-2", "--for", "5s", "--wait", "5s", "--", "true")
	must(t, c, 0, "voter", "remove", c.Seats[0].Name) // two voters are left
	last := fourth
	c.Seats[1].Kill()
	last.Kill()
	_ = hold.Process.Kill()
	into := filepath.Join(t.TempDir(), "restored")
	restore := func(want int, more ...string) string {
		t.Helper()
		cmd := exec.Command(program, append([]string{"council", "restore", "--from", last.Folder(), "--into", into, "--name", last.Name}, more...)...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != want {
			t.Fatalf("restore %v: exit %d, want %d: %s", more, code, want, out)
		}
		return string(out)
	}
	restore(1)
	told := restore(1, "--lost", c.Seats[1].Name)
	_, word, ok := strings.Cut(told, "confirm with ")
	if !ok {
		t.Fatalf("a dry run tells %s", told)
	}
	restore(0, "--lost", c.Seats[1].Name, "--confirm", strings.TrimSpace(word))
	if err := errors.Join(os.RemoveAll(last.Folder()), os.CopyFS(last.Folder(), os.DirFS(into))); err != nil {
		t.Fatal(err)
	}
	if err := last.Start(); err != nil {
		t.Fatal(err)
	}
	until(t, "the new council decides", func() error { _, err := last.Status(); _, e := c.Leader(); return errors.Join(err, e) })
	if out := must(t, c, 75, "permit", "gateway/gw-2", "--for", "5s", "--", "true"); !strings.Contains(out, "overdue") {
		t.Errorf("what was out is not counted after the restore: %s", out)
	}
	must(t, c, 0, "undrain", "gateway/gw-1")
	out := must(t, c, 0, "permit", "gateway/gw-2", "--for", "5s", "--", "sh", "-c", "echo fence $REACHWIND_FENCE")
	var fence uint64
	if _, err := fmt.Sscanf(out[strings.Index(out, "fence"):], "fence %d", &fence); err != nil || fence < 1<<40 {
		t.Errorf("the new council's fence is %d: %s", fence, out)
	}
}

// TestOperators: two operators start opposite releases of the same gateways at once, and one is refused; a leader that is
// cut from the other voters but not from gateways and commands decides nothing, and what moved goes on; voters killed at
// any write, thirty times, forget nothing that was told as done.
func TestOperators(t *testing.T) {
	t.Parallel()
	c, r := fleetOf(t, 3, 26)
	p, err := r.NewReplacer(filepath.Join(t.TempDir(), "ops"))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	must(t, c, 0, "budget", "set", "--of", "gateways", "--most", "1")
	one := writePlan(t, p, "  step \"all\" {\n    share = 1\n  }\n")
	text, _ := os.ReadFile(one)
	other := filepath.Join(t.TempDir(), "other.hcl")
	if err := os.WriteFile(other, []byte(strings.NewReplacer(`"v2"`, `"v1"`, `version = "2"`, `version = "1"`, `former = "1"`, `former = "2"`).Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	a, _ := spawn(t, c, "release", "run", one)
	b, _ := spawn(t, c, "release", "run", other)
	until(t, "one is out", func() error {
		if len(p.Outages()) == 0 {
			return errNone
		}
		return nil
	})
	l, err := c.Leader()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range c.Seats {
		if s != l {
			c.Set(l, s, Link{Cut: true})
			c.Set(s, l, Link{Cut: true})
		}
	}
	until(t, "another one leads", func() error {
		now, err := c.Leader()
		if err == nil && now == l {
			err = errNone
		}
		return err
	})
	cmd := exec.Command(program, "fleet", "--admin", l.Admin, "permit", "gateway/gw-02", "--for", "5s", "--", "true")
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 75 {
		t.Errorf("a leader that is cut off decides: %s", out)
	}
	c.Heal()
	_, _ = a.Process.Wait()
	_, _ = b.Process.Wait()
	st, err := c.State()
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, rel := range st.Releases { // the other one was refused, or is planned and can't begin
		if rel.Ended() {
			ended++
		}
	}
	most, times := p.Most()
	if ended != 1 || most > 1 || len(times) != 3 {
		t.Errorf("%d releases, %d ended, %d out at once, %v: want one of two", len(st.Releases), ended, most, times)
	}
	done := 0
	for i := range 30 {
		s := c.Seats[i%3]
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(time.Duration(10+i*7%50) * time.Millisecond)
			s.Kill()
		}()
		if code, out := c.Run("budget", "set", "--of", "members", "--group", fmt.Sprint(i), "--most", "1"); code == 0 {
			done++
		} else {
			t.Errorf("with one voter of three killed: exit %d: %s", code, out)
		}
		<-killed
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "nothing that was told as done is forgotten", func() error {
		st, err := c.State()
		if err == nil && len(st.Budgets) != done+1 {
			err = fmt.Errorf("%d budgets, %d were told as set", len(st.Budgets), done+1)
		}
		return err
	})
}

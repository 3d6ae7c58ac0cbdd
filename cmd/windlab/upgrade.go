package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"reachwind/internal/lab/load"
	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/rig"
)

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// upgrade takes a council and a fleet of processes from an earlier build to this one, back, and here again, one process at
// a time, under load, with a cut and a kill while both builds are there; then it raises the council's form. Both builds
// must hold one view, permits must hold over all changes, and what only the newer build knows must be refused until then.
func upgrade(l *lab) (any, error) {
	if l.base == "" {
		return nil, errors.New("want --base, the program of an earlier build with its reachwind-council beside it")
	}
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	base, err := filepath.Abs(l.base)
	if err != nil {
		return nil, err
	}
	const size = 6
	c, err := rig.NewCouncil(base, filepath.Join(l.dir, "council"), 3, l.seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, err := c.Seated(time.Minute); err != nil {
		return nil, err
	}
	r, err := rig.New(rig.Config{Binary: base, Dir: filepath.Join(l.dir, "fleet"), Size: size, Seeds: 2, Seed: l.seed, Zones: []string{"a", "b", "c"}, Council: c.Listens(), Keys: c.Keys()})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.StartAll(); err != nil {
		return nil, err
	}
	whole := func(what string) error {
		took, err := rig.Until(2*time.Minute, func() error { return errors.Join(rig.Common(r.Nodes), rig.Verdicts(r.Nodes, "whole")) })
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", what, err, r.Timeline())
		}
		_, _ = fmt.Fprintf(l.out, "%s: one view after %v\n", what, took.Round(100*time.Millisecond))
		return nil
	}
	if err := whole("all of the earlier build"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loaded := make(chan *load.Result, 1)
	go func() {
		res, _ := load.Run(ctx, load.Config{Addrs: r.Addrs(), Phases: []load.Phase{{Rate: 60, For: 10 * time.Minute}}, Conns: 24, Groups: 2, Seed: l.seed, Prefix: "up"})
		loaded <- res
	}()
	if code, out := c.Run("budget", "set", "--of", "gateways", "--most", "1"); code != 0 {
		return nil, errors.New(out)
	}
	permits := func(what string) error {
		if code, out := c.Run("permit", "gateway/gw-05", "--for", "20s", "--wait", "30s", "--", "true"); code != 0 {
			return fmt.Errorf("%s: no permit: exit %d: %s", what, code, out)
		}
		return nil
	}
	pass := func(what, to string) error {
		for i, s := range c.Seats {
			s.Kill()
			s.Binary = to
			if err := s.Start(); err != nil {
				return fmt.Errorf("%s: %w", what, err)
			}
			if _, err := c.Seated(time.Minute); err != nil {
				return fmt.Errorf("%s: %w\n%s", what, err, c.Logs())
			}
			if err := permits(fmt.Sprintf("%s, %d voters", what, i+1)); err != nil {
				return fmt.Errorf("%w\n%s", err, c.Logs())
			}
		}
		for i, n := range r.Nodes {
			if i == size/2 {
				r.Cut("zone a, with both builds", func(x, y *rig.Node) bool { return (x.Zone == "a") != (y.Zone == "a") })
				time.Sleep(8 * time.Second)
				r.Heal()
				r.Nodes[size-1].Kill()
				time.Sleep(2 * time.Second)
				if err := r.Nodes[size-1].Start(); err != nil {
					return err
				}
				if err := whole(what + ", half way, after a cut and a kill"); err != nil {
					return err
				}
			}
			if err := n.Stop(); err != nil {
				return err
			}
			n.Binary = to
			if err := n.Start(); err != nil {
				return err
			}
		}
		return whole(what)
	}
	for _, p := range []struct{ what, to string }{{"to this build", binary}, {"back to the earlier build", base}, {"to this build again", binary}} {
		if err := pass(p.what, p.to); err != nil {
			return nil, err
		}
	}
	c.SetBinary(binary)
	plan := filepath.Join(l.dir, "plan.hcl")
	if err := os.WriteFile(plan, []byte("release \"r\" {\n command = [\"true\"]\n step \"one\" { count = 1 }\n}\n"), 0o600); err != nil {
		return nil, err
	}
	if code, out := c.Run("release", "run", plan); code == 0 || !strings.Contains(out, "raise") {
		return nil, fmt.Errorf("a release before the raise: exit %d: %s", code, out)
	}
	if code, out := c.Run("raise"); code != 0 {
		return nil, fmt.Errorf("raise: exit %d: %s", code, out)
	}
	if err := permits("raised"); err != nil {
		return nil, err
	}
	st, err := c.State()
	if err != nil || st.Form < 2 {
		return nil, fmt.Errorf("the council works in form %d: %w", st.Form, err)
	}
	cancel()
	res := <-loaded
	_, _ = fmt.Fprintf(l.out, "%d requests planned, %v by outcome, %d unsent\n", res.Planned, res.Outcomes, res.Unsent)
	if res.Outcomes[0] < res.Planned*97/100 {
		return nil, fmt.Errorf("%d of %d served", res.Outcomes[0], res.Planned)
	}
	return map[string]any{"planned": res.Planned, "served": res.Outcomes[0]}, nil
}

package rig

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"reachwind/internal/standin/cluster"
)

// TestZones: two zones, one lost with its members: it is out by one agreed plan that all gateways act by, nothing is
// released meanwhile, the leader may die, and it comes back by steps; clients are served by the other zone. An operator's
// hold keeps a plan from changing by itself; gateways that no longer hear the council leave the plan by steps.
func TestZones(t *testing.T) {
	t.Parallel()
	c := seat(t, 31, "a", "b")
	r := newRig(t, Config{Size: 4, Seeds: 2, Seed: 31, Zones: []string{"a", "b"}, Cost: true, Council: c.Listens(), Keys: c.Keys(),
		Cluster: cluster.Config{Groups: 2, Replicas: 3, Lag: 10 * time.Millisecond, Elect: time.Second, Zones: []string{"a", "b"}}})
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	load := asks(t, r, 120, 70*time.Second, "zon")
	zone := func(name string, states ...string) func() error {
		return func() error {
			st, err := c.State()
			if err != nil || st.Zones == nil {
				return errors.Join(err, errNone)
			}
			e := st.Zones.Zones[name]
			for _, s := range states {
				if e.State == s {
					return nil
				}
			}
			return fmt.Errorf("zone %s is %s, want %v: away %g, %s", name, e.State, states, e.Away, e.Reason)
		}
	}
	until(t, "both zones serve", func() error { return errors.Join(zone("a", "serving")(), zone("b", "serving")()) })
	time.Sleep(5 * time.Second)
	for _, m := range r.Cluster.Members() {
		if m.Zone == "a" {
			m.Kill()
		}
	}
	until(t, "zone a is out", zone("a", "out"))
	if out := must(t, c, 75, "permit", "gateway/gw-01", "--for", "5s", "--", "true"); !strings.Contains(out, "carries") && !strings.Contains(out, "zone") {
		t.Errorf("a gateway of the zone that carries the load may go out: %s", out)
	}
	until(t, "all gateways act by it", func() error {
		for _, n := range r.Nodes {
			v, err := n.View()
			if err != nil || v.ZonesAway["a"] < 0.99 || v.ZonesAway["b"] > 0 {
				return errors.Join(err, fmt.Errorf("%s sends %v away", n.Name, v.ZonesAway))
			}
		}
		return nil
	})
	if l, err := c.Leader(); err == nil {
		l.Kill()
		defer func() { _ = l.Start() }()
	}
	if _, err := c.Seated(bound); err != nil {
		t.Fatal(err)
	}
	if err := zone("a", "out", "returning")(); err != nil {
		t.Errorf("with the next leader: %v", err)
	}
	for _, m := range r.Cluster.Members() {
		if m.Zone == "a" {
			if err := m.Restart(); err != nil {
				t.Fatal(err)
			}
		}
	}
	until(t, "zone a comes back", zone("a", "returning", "serving"))
	until(t, "zone a serves", zone("a", "serving"))
	until(t, "no gateway sends anything away", func() error {
		for _, n := range r.Nodes {
			v, err := n.View()
			if err != nil || len(v.ZonesAway) > 0 {
				return errors.Join(err, fmt.Errorf("%s sends %v away", n.Name, v.ZonesAway))
			}
		}
		return nil
	})
	must(t, c, 0, "zone", "out", "b", "--reason", "power")
	until(t, "zone b is out by an operator's word", zone("b", "out"))
	must(t, c, 0, "zone", "hold", "b")
	time.Sleep(2 * time.Second)
	if err := zone("b", "out")(); err != nil {
		t.Errorf("held: %v", err)
	}
	for _, s := range c.Seats { // nobody hears the council: the plan ends by its term, by steps
		s.Pause(true)
	}
	until(t, "without a council gateways go back to what they see", func() error {
		v, err := r.Nodes[0].View()
		if err == nil && len(v.ZonesAway) > 0 {
			err = fmt.Errorf("%v", v.ZonesAway)
		}
		return err
	})
	for _, s := range c.Seats {
		s.Pause(false)
	}
	res := load()
	if res.Outcomes[0] < res.Planned*90/100 {
		t.Errorf("%d of %d served through it all: %v, %d unsent", res.Outcomes[0], res.Planned, res.Outcomes, res.Unsent)
	}
	t.Logf("%d planned, %v by outcome, %d unsent", res.Planned, res.Outcomes, res.Unsent)
}

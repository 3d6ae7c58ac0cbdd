package activesettings

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"reachwind/decide"
)

// TestHolder plays random changes of the settings: a name keeps its index, a removed class is served for
// RemovedClassGrace as it was and is unknown afterwards, and the decision module has its tenants at the indexes that
// requests carry.
func TestHolder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	randomConfig := func() *decide.Config {
		c := new(decide.Config)
		for i := range 5 {
			if i == 0 || r.IntN(2) == 0 {
				c.Classes = append(c.Classes, decide.Class{Name: fmt.Sprint("c", i), Effect: decide.Effect(r.IntN(3)), Deadline: time.Duration(1+r.IntN(3)) * time.Second})
			}
			if r.IntN(2) == 0 {
				c.Tenants = append(c.Tenants, decide.Tenant{Name: fmt.Sprint("t", i), Share: 0.5})
			}
		}
		return c
	}
	h, err := NewHolder(randomConfig())
	if err != nil {
		t.Fatal(err)
	}
	now, removedUntil, indexes := time.Duration(0), map[string]time.Duration{}, map[string]int{}
	for range 2000 {
		now += time.Duration(r.IntN(1000)) * time.Millisecond
		conf, was := randomConfig(), h.Current()
		next, own, err := h.Prepare(conf, now)
		if err != nil || h.Current() != was {
			t.Fatal("refused, or activated too soon", err)
		}
		h.Activate(next)
		in := map[string]decide.Class{}
		for _, k := range conf.Classes {
			in[k.Name] = k
			delete(removedUntil, k.Name)
		}
		for name, k := range was.classes {
			if _, ok := in[name]; !ok && k.servedUntil == 0 {
				removedUntil[name] = now + RemovedClassGrace
			}
		}
		for i := range 5 {
			name := fmt.Sprint("c", i)
			k, ok := next.Class(name, now)
			want, held := in[name]
			if ok != (held || now < removedUntil[name]) || held && *k.Class != want || ok && !held && *k.Class != *was.classes[name].Class {
				t.Fatalf("%s at %v: %+v, %v; in settings %v, served until %v", name, now, k, ok, held, removedUntil[name])
			}
			if _, late := next.Class(name, now+RemovedClassGrace); late != held {
				t.Fatalf("%s is served too long after its removal", name)
			}
			if at, known := indexes[name]; ok && known && at != k.Index || ok && next.Names.Classes[k.Index] != name {
				t.Fatalf("%s changed its index to %d", name, k.Index)
			}
			if ok {
				indexes[name] = k.Index
			}
		}
		for _, c := range conf.Tenants {
			if at := next.TenantIndex(c.Name); at < 0 || own.Tenants[at] != c || next.Names.Tenants[at] != c.Name {
				t.Fatalf("tenant %s is at %d", c.Name, at)
			}
		}
	}
	many := new(decide.Config)
	for i := range MaxNames {
		many.Classes = append(many.Classes, decide.Class{Name: fmt.Sprint("m", i)})
	}
	var names *TooManyNamesError
	if _, _, err := h.Prepare(many, now); !errors.As(err, &names) {
		t.Errorf("%d more names: %v", MaxNames, err)
	}
}

// TestMaxDeadline: requests accepted under an earlier snapshot may stay open as long as that allowed, and a shutdown
// waits for them: a shorter deadline, a removed class and two changes in a row do not cut them off.
func TestMaxDeadline(t *testing.T) {
	of := func(long time.Duration, names ...string) *decide.Config {
		c := new(decide.Config)
		for i, name := range names {
			c.Classes = append(c.Classes, decide.Class{Name: name, Deadline: long >> i})
		}
		return c
	}
	const long, short = 8 * time.Second, 250 * time.Millisecond
	for name, steps := range map[string][]struct {
		at   time.Duration
		conf *decide.Config
		want time.Duration
	}{
		"longer":           {{0, of(short, "a"), short}, {1, of(long, "a"), long}},
		"shorter":          {{0, of(long, "a"), long}, {1, of(short, "a"), long}, {long, of(short, "a"), long}, {long + short + 1, of(short, "a"), short}},
		"shorter, twice":   {{0, of(long, "a"), long}, {1, of(short, "a"), long}, {2, of(short/2, "a"), long}, {long + 1, of(short/2, "a"), short / 2}},
		"removed":          {{0, of(long, "a"), long}, {1, of(short, "b"), long}, {RemovedClassGrace, of(short, "b"), long}},
		"removed long ago": {{0, of(long, "a"), long}, {1, of(short, "b"), long}, {RemovedClassGrace + 1, of(short, "b"), long}, {RemovedClassGrace + long + 1, of(short, "b"), short}},
		"shortest removed": {{0, of(long, "a", "b"), long}, {1, of(long, "a"), long}},
	} {
		b, err := NewHolder(steps[0].conf)
		if err != nil {
			t.Fatal(err)
		}
		for i, s := range steps {
			if i > 0 {
				next, _, err := b.Prepare(s.conf, s.at)
				if err != nil {
					t.Fatal(err)
				}
				b.Activate(next)
			}
			if got := b.Current().MaxDeadline; got != s.want {
				t.Errorf("%s, step %d: longest deadline %v, want %v", name, i, got, s.want)
			}
		}
	}
}

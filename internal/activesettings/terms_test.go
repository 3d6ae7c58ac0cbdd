package activesettings

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"reachwind/decide"
)

// TestBook: through random changes of the settings a name keeps its place, a class that left is served for Linger as
// it was and then is unknown, and the module's customers are at the places that requests name.
func TestBook(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() *decide.Config {
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
	b, err := NewHolder(draw())
	if err != nil {
		t.Fatal(err)
	}
	now, left, places := time.Duration(0), map[string]time.Duration{}, map[string]int{}
	for range 2000 {
		now += time.Duration(r.IntN(1000)) * time.Millisecond
		conf, was := draw(), b.Current()
		next, own, err := b.Prepare(conf, now)
		if err != nil || b.Current() != was {
			t.Fatal("refused, or turned too soon", err)
		}
		b.Activate(next)
		in := map[string]decide.Class{}
		for _, k := range conf.Classes {
			in[k.Name] = k
			delete(left, k.Name)
		}
		for name, k := range was.classes {
			if _, ok := in[name]; !ok && k.until == 0 {
				left[name] = now + RemovedClassGrace
			}
		}
		for i := range 5 {
			name := fmt.Sprint("c", i)
			k, ok := next.Class(name, now)
			want, held := in[name]
			if ok != (held || now < left[name]) || held && *k.Class != want || ok && !held && *k.Class != *was.classes[name].Class {
				t.Fatalf("%s at %v: %+v, %v; in %v, left until %v", name, now, k, ok, held, left[name])
			}
			if _, late := next.Class(name, now+RemovedClassGrace); late != held {
				t.Fatalf("%s is served after it left", name)
			}
			if at, known := places[name]; ok && known && at != k.Index || ok && next.Names.Classes[k.Index] != name {
				t.Fatalf("%s changed its place to %d", name, k.Index)
			}
			if ok {
				places[name] = k.Index
			}
		}
		for _, c := range conf.Tenants {
			if at := next.TenantIndex(c.Name); at < 0 || own.Tenants[at] != c || next.Names.Tenants[at] != c.Name {
				t.Fatalf("customer %s is at %d", c.Name, at)
			}
		}
	}
	many := new(decide.Config)
	for i := range MaxNames {
		many.Classes = append(many.Classes, decide.Class{Name: fmt.Sprint("m", i)})
	}
	var names *TooManyNamesError
	if _, _, err := b.Prepare(many, now); !errors.As(err, &names) {
		t.Errorf("%d names more: %v", MaxNames, err)
	}
}

// TestLongest: requests taken under terms that have changed since may be open as long as those allowed, and the last call of a
// shutdown counts on it: a shorter deadline, a class that left and two changes in a row don't cut them off.
func TestLongest(t *testing.T) {
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
		"longer":            {{0, of(short, "a"), short}, {1, of(long, "a"), long}},
		"shorter":           {{0, of(long, "a"), long}, {1, of(short, "a"), long}, {long, of(short, "a"), long}, {long + short + 1, of(short, "a"), short}},
		"shorter, twice":    {{0, of(long, "a"), long}, {1, of(short, "a"), long}, {2, of(short/2, "a"), long}, {long + 1, of(short/2, "a"), short / 2}},
		"left":              {{0, of(long, "a"), long}, {1, of(short, "b"), long}, {RemovedClassGrace, of(short, "b"), long}},
		"left long ago":     {{0, of(long, "a"), long}, {1, of(short, "b"), long}, {RemovedClassGrace + 1, of(short, "b"), long}, {RemovedClassGrace + long + 1, of(short, "b"), short}},
		"the shortest left": {{0, of(long, "a", "b"), long}, {1, of(long, "a"), long}},
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
				t.Errorf("%s, step %d: the longest is %v, want %v", name, i, got, s.want)
			}
		}
	}
}

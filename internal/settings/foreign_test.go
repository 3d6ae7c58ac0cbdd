package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"reachwind/decide"
)

const ms = time.Millisecond

// foreign are settings of deployments unlike the one that the gateway was built for, and what the module must be told of
// each. Every figure stands in the text alone: none is what another place of the program would fill in.
var foreign = map[string]decide.Config{
	"foothill": {Self: 4, Fronts: 5, Zone: "valley-mid", Resolution: 5 * ms, OverShareFactor: 0.25, MaxAttempts: 3, MaxRetryAfter: 150 * ms,
		MayCancel: true, ListOnRequest: true, RemembersSessions: true, AnswersHavePosition: true,
		SlowStartFraction: 0.3, SlowStartTime: 11 * time.Second, OverloadMultiple: 2.1, OverloadTime: 700 * ms,
		Classes: []decide.Class{
			{Name: "lift-state", KeyWindow: 5 * time.Second, LatencyTarget: 110 * ms, Deadline: 250 * ms, Value: 1, LateValue: 0.1},
			{Name: "hut-page", KeyWindow: 5 * time.Second, LatencyTarget: 450 * ms, Deadline: 1200 * ms, Value: 2, LateValue: 0.3, Consistency: decide.Session},
			{Name: "season-report", KeyWindow: 5 * time.Second, LatencyTarget: 2 * time.Second, Deadline: 6500 * ms, Value: 3, LateValue: 0.5,
				Consistency: decide.Bounded, Bound: 900 * ms},
			{Name: "bed-free", KeyWindow: 5 * time.Second, LatencyTarget: 220 * ms, Deadline: 600 * ms, Value: 2, Consistency: decide.Fresh},
			{Name: "bed-hold", Effect: decide.Keyed, KeyWindow: 450 * ms, LatencyTarget: 600 * ms, Deadline: 2200 * ms, Value: 5, LateValue: 0.4,
				Consistency: decide.Write},
			{Name: "charge", Effect: decide.Once, KeyWindow: 5 * time.Second, LatencyTarget: 1500 * ms, Deadline: 4500 * ms, Value: 6, LateValue: 0.6,
				Consistency: decide.Write}},
		Tenants: []decide.Tenant{{Name: "north-club", Share: 0.62, Rate: 140}, {Name: "guides", Share: 0.38, Rate: 86}}},
	"harbour": {Self: 17, Fronts: 300, Zone: "islet", Resolution: 2 * ms, OverShareFactor: 0.05, MaxAttempts: 2, MayDuplicate: true,
		MayProbe: true, ClientsMarkRetries: true, StaleReads: decide.StaleReadWait,
		SlowStartFraction: 0.2, SlowStartTime: 20 * time.Second, OverloadMultiple: 3, OverloadTime: 1500 * ms, UseUnlisted: true,
		Classes: []decide.Class{
			{Name: "priority", KeyWindow: 5 * time.Second, LatencyTarget: 160 * ms, Deadline: 350 * ms, Value: 4},
			{Name: "ticket", Effect: decide.Keyed, KeyScope: decide.ScopeGroup, KeyWindow: 700 * ms, LatencyTarget: 800 * ms, Deadline: 1800 * ms,
				Value: 5, LateValue: 0.2, Consistency: decide.Write},
			{Name: "timetable", KeyWindow: 5 * time.Second, LatencyTarget: 600 * ms, Deadline: 2 * time.Second, Value: 1, LateValue: 0.5,
				Consistency: decide.Bounded, Bound: 5 * time.Second},
			{Name: "books", KeyWindow: 5 * time.Second, LatencyTarget: 3200 * ms, Deadline: 8 * time.Second, Value: 2, LateValue: 0.6, Consistency: decide.Session},
			{Name: "berth", Effect: decide.Keyed, KeyScope: decide.ScopeZone, KeyWindow: 12 * time.Second, LatencyTarget: 900 * ms, Deadline: 3500 * ms,
				Value: 3, LateValue: 0.1, Consistency: decide.Write}},
		Tenants: []decide.Tenant{{Name: "line-one", Share: 0.3, Rate: 90}, {Name: "line-two", Share: 0.25, Rate: 75},
			{Name: "cargo", Share: 0.2, Rate: 60}, {Name: "pilots", Share: 0.15, Rate: 45}, {Name: "yachts", Share: 0.1, Rate: 30}}},
}

// unread are the keys that nothing is taken from: what the gateway does is right whatever they say.
var unread = map[string]bool{
	".Allowed.CpuUsPerRequest": true, ".Allowed.CpuUsPerS": true, // the platform measures; there is no more or less thorough way
	".Allowed.MaxOpen":          true, // descriptors: the limits beside the settings say
	".Allowed.StreamsPerConn":   true, // 1 in PostgreSQL's protocol
	".Family":                   true,
	".FamilyInfo.CatchUpWaitUs": true, // a read that waits there ends by its own time
	".FamilyInfo.RoleListed":    true, // roles come with the list, or not
	".FamilyInfo.WaitsForCopy":  true,
	".Rules.AnswerSlackUs":      true, // answers come before the deadline
	".Rules.AskWithinUs":        true, // a watch is always kept
	".Tier":                     true,
	".Tiers[0]":                 true,
	".WeightSource":             true,
	".WorthBy":                  true,
	".MachineTypes[0]":          true,
	".MachineTypes[1]":          true,
	".Grades[0].Stream":         true, // "false here"
	".Grades[1].Stream":         true,
	".Grades[2].Stream":         true,
	".Grades[3].Stream":         true,
	".Grades[4].Stream":         true,
	".Grades[5].Stream":         true,
}

// unpassed are the keys that [Facts] holds for others than the module.
var unpassed = map[string]bool{
	".Allowed.ConnectTimeoutUs": true, ".Allowed.IdleCloseUs": true, ".Rules.StopSendingWithinUs": true, // the members' side
	".Allowed.Peers": true, ".FailureDomains[0]": true, ".FailureDomains[1]": true, ".FailureDomains[2]": true,
	".FamilyInfo.CountedFromUs": true, ".Feedback.How": true, ".Feedback.Names[0]": true, ".Feedback.Names[1]": true, ".Feedback.Names[2]": true,
}

// leaves calls visit for each plain value under v with its path and a way to set it.
func leaves(v any, path string, visit func(path string, old any, set func(any))) {
	each := func(path string, one any, set func(any)) {
		switch one.(type) {
		case map[string]any, []any:
			leaves(one, path, visit)
		default:
			visit(path, one, set)
		}
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range sorted(v) {
			each(path+"."+name, v[name], func(x any) { v[name] = x })
		}
	case []any:
		for i := range v {
			each(fmt.Sprintf("%s[%d]", path, i), v[i], func(x any) { v[i] = x })
		}
	}
}

// others are values of the same kind as old, some of which the settings know.
func others(path string, old any) []any {
	switch old := old.(type) {
	case bool:
		return []any{!old}
	case float64:
		return []any{old + 1}
	case string:
		return []any{"repeatable", "by_key", "all", "zone", "cell", "any", "write", "session", "off", "refuse", "remembered", "carried", "ask",
			"push", old + "2"}
	}
	panic(path)
}

// TestForeign: settings of other deployments reach the module whole, and each key of them counts: another value there
// makes another configuration, unless the key is one of those that nothing is taken from.
func TestForeign(t *testing.T) {
	for name, want := range foreign {
		text, err := os.ReadFile("testdata/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		read := func(v any) (*Settings, *decide.Config, error) {
			text, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			f, err := Parse(text)
			if err != nil {
				return nil, nil, err
			}
			c, err := f.Config()
			return f, c, err
		}
		var tree any
		if err := json.Unmarshal(text, &tree); err != nil {
			t.Fatal(err)
		}
		facts, got, err := read(tree)
		if err != nil {
			t.Fatal(name, err)
		}
		if err := got.Validate(); err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", name, err, *got, want)
		}
		leaves(tree, "", func(path string, old any, set func(any)) {
			isRead, passed := false, false
			for _, v := range others(path, old) {
				set(v)
				if f, c, err := read(tree); err == nil {
					isRead = isRead || !reflect.DeepEqual(f, facts)
					passed = passed || !reflect.DeepEqual(c, got)
				}
			}
			set(old)
			if isRead == unread[path] {
				t.Errorf("%s: another value of %s is read: %v, want %v", name, path, isRead, !unread[path])
			}
			// Without RetryAfter clients are told no time, whatever the longest is.
			want := !unread[path] && !unpassed[path] && (path != ".Allowed.MaxRetryAfterUs" || facts.Allowed.RetryAfter)
			if passed != want {
				t.Errorf("%s: another value of %s is passed to the module: %v, want %v", name, path, passed, want)
			}
		})
	}
}

// TestNothingFilledIn: a key that is missing is read as nothing, 0 or false, and never as a figure of some other deployment; where it
// can't be done without, that is a fault.
func TestNothingFilledIn(t *testing.T) {
	flat := func(c *decide.Config) map[string]any {
		text, err := json.Marshal(c)
		var tree any
		if err == nil {
			err = json.Unmarshal(text, &tree)
		}
		if err != nil {
			t.Fatal(err)
		}
		all := map[string]any{}
		leaves(tree, "", func(path string, v any, _ func(any)) { all[path] = v })
		return all
	}
	for name, want := range foreign {
		text, err := os.ReadFile("testdata/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		whole := flat(&want)
		for _, in := range []string{"", "Allowed", "Rules", "FamilyInfo", "ClientHabits", "Feedback"} {
			var tree map[string]any
			if err := json.Unmarshal(text, &tree); err != nil {
				t.Fatal(err)
			}
			o := tree
			if in != "" {
				o = tree[in].(map[string]any)
			}
			for _, key := range sorted(o) {
				old := o[key]
				delete(o, key)
				text, err := json.Marshal(tree)
				o[key] = old
				if err != nil {
					t.Fatal(err)
				}
				f, err := Parse(text)
				if err != nil {
					continue
				}
				c, err := f.Config()
				if err != nil {
					continue
				}
				for path, v := range flat(c) {
					if v != whole[path] && !reflect.ValueOf(v).IsZero() && path != ".Fronts" { // of which there are as many as Me says
						t.Errorf("%s without %s.%s: %s is %v, want nothing there, or a fault", name, in, key, path, v)
					}
				}
			}
		}
	}
}

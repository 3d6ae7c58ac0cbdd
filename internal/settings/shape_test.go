package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const whole = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"cores":1,"sockets":64},"known":{"instances":[{"instanceId":"a"}]},
"settings":{"Allowed":{"ConnectTimeoutUs":250000,"MayCancel":true,"TryLimit":6},"Discovery":"ask","Instances":3,"Me":1,
"FamilyInfo":{"ClassBoundUs":[3000000,0],"Consistency":["bounded","write"],"ServerChecks":"off"},
"Grades":[{"AimUs":750000,"AimStretch":2,"DeadlineUs":2500000,"Effect":"repeatable","KeyScope":"all","Name":"tiles","Value":2.0},
{"AimUs":900000,"DeadlineUs":3000000,"Effect":"by_key","KeyScope":"cell","Name":"edits","Value":4.0}],
"Rules":{"ColdShare":0.24,"ColdUs":18000000},"Tenants":[{"Name":"kea","Fraction":1,"QuotaRps":10}]}}`

// TestCheck: what an operator may change passes, and each broken form is refused with the key that is at fault.
func TestCheck(t *testing.T) {
	s, err := SchemaOf([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	swap := func(pairs ...string) string {
		text := strings.NewReplacer(pairs...).Replace(whole)
		if text == whole {
			t.Fatalf("%q changes nothing", pairs)
		}
		return text
	}
	third := `{"AimUs":1,"DeadlineUs":2,"Effect":"once","KeyScope":"all","Name":"new","Value":1}`
	for name, text := range map[string]string{
		"same": whole, "fewer attempts": swap(`"TryLimit":6`, `"TryLimit":1`), "more keys": swap(`"Me":1`, `"Me":1,"More":{"x":[1]}`),
		"a key that only some had": swap(`"AimStretch":2,`, ``), "stricter": swap(`"repeatable"`, `"once"`), "other members known": swap(`[{"instanceId":"a"}]`, `[]`),
		"a class came": swap(`"Value":4.0}`, `"Value":4.0},`+third, `[3000000,0]`, `[3000000,0,0]`, `"write"]`, `"write","any"]`),
	} {
		if err := s.Check([]byte(text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, c := range []struct {
		kind      FaultKind
		key, text string
	}{
		{Empty, "", ""}, {Empty, "", " \n"}, {NotJSON, "", whole[:len(whole)-1]}, {NotJSON, "", whole + "}"}, {NotJSON, "", whole + whole}, {NotJSON, "", whole[:500] + whole[600:]},
		{NotJSON, "", whole[:300] + whole}, {TooLong, "", whole + strings.Repeat(" ", 10<<20)}, {BadValue, "", "[]"}, {BadValue, "", "null"}, {Missing, "discovery", "{}"},
		{NotJSON, "", strings.Repeat("[", 1<<20)}, {Missing, "settings", `{"name":"n1","listen":"","discovery":"","limits":{"cores":1,"sockets":64},"known":{}}`},
		{Missing, "settings.Allowed.TryLimit", swap(`,"TryLimit":6`, ``)}, {Missing, "settings.Grades[1].Effect", swap(`"Effect":"by_key",`, ``)},
		{Missing, "settings.Rules", swap(`"Rules":{"ColdShare":0.24,"ColdUs":18000000},`, ``)}, {Missing, "settings.Tenants[0].QuotaRps", swap(`,"QuotaRps":10`, ``)},
		{BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":0`)}, {BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":-2`)},
		{BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":"6"`)}, {BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":1.5`)},
		{BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":99999999999`)}, {BadValue, "settings.Allowed.TryLimit", swap(`"TryLimit":6`, `"TryLimit":null`)},
		{BadValue, "settings.Grades[0].DeadlineUs", swap(`2500000`, `0`)}, {BadValue, "settings.Grades[0].DeadlineUs", swap(`2500000`, `-1`)},
		{BadValue, "settings.Grades[1].AimUs", swap(`900000`, `1e400`)}, {BadValue, "settings.Grades[1].AimUs", swap(`900000`, `9223372036854775807`)},
		{NotJSON, "", swap(`900000`, `NaN`)}, {BadValue, "settings.Grades[1].AimUs", swap(`900000`, `[]`)}, {BadValue, "settings.Grades", swap(`"Grades":[`, `"Grades":[],"Old":[`)},
		{BadValue, "settings.FamilyInfo.Consistency", swap(`"write"]`, `"write","any"]`)}, {BadValue, "settings.FamilyInfo.ClassBoundUs", swap(`[3000000,0]`, `[0]`)},
		{Duplicate, "settings.Grades[1].Name", swap(`"edits"`, `"tiles"`)}, {Duplicate, "settings.Grades", swap(`"Me":1`, `"Me":1,"grades":[]`)},
		{BadValue, "settings.Grades[0].Effect", swap(`"repeatable"`, `"maybe"`)}, {BadValue, "settings.Grades[1].KeyScope", swap(`"cell"`, `"row"`)},
		{BadValue, "settings.FamilyInfo.Consistency[0]", swap(`"bounded"`, `"old"`)}, {BadValue, "settings.Tenants[0].Fraction", swap(`"Fraction":1`, `"Fraction":-1`)},
		{BadValue, "settings.Rules.ColdUs", swap(`18000000`, `-5`)}, {BadValue, "limits", swap(`{"cores":1,"sockets":64}`, `7`)}, {BadValue, "settings.Instances", swap(`"Instances":3`, `"Instances":0`)},
	} {
		err := s.Check([]byte(c.text))
		var f *Fault
		if !errors.As(err, &f) || f.Kind != c.kind || f.Key != c.key || f.Found == "" || f.Want == "" || !strings.Contains(err.Error(), "send SIGHUP again") {
			t.Errorf("%.80q: %v, want a fault of kind %d at %q", c.text, err, c.kind, c.key)
		}
	}
}

// TestMutations: whatever is cut, left out or replaced in a good file, nothing panics, and what passes can be used.
func TestMutations(t *testing.T) {
	s, _ := SchemaOf([]byte(whole))
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 7))
		var file any
		if err := json.Unmarshal([]byte(strings.Replace(whole, `{"instances":[{"instanceId":"a"}]}`, "{}", 1)), &file); err != nil {
			t.Fatal(err)
		}
		var number func(v any, n int) any // changes one value in n
		gone := 0
		number = func(v any, n int) any {
			switch v := v.(type) {
			case map[string]any:
				for _, key := range sorted(v) {
					if r.IntN(n) == 0 {
						gone++
						delete(v, key)
					} else {
						v[key] = number(v[key], n)
					}
				}
			case []any:
				for i := range v {
					v[i] = number(v[i], n)
				}
			case float64:
				if r.IntN(n) == 0 {
					return []any{0, -1, "x", nil, 1e300, 0.5, map[string]any{}}[r.IntN(7)]
				}
			}
			return v
		}
		text, err := json.Marshal(number(file, 30))
		if err != nil {
			t.Fatal(err)
		}
		cut := r.IntN(3) == 0
		if cut {
			text = text[:r.IntN(len(text))]
		}
		if s.Check(text) != nil {
			continue
		}
		// AimStretch alone may be left out, as not every class had it.
		if cut || gone > 1 || gone == 1 && strings.Contains(string(text), "AimStretch") {
			t.Fatalf("seed %d: passed: %s", seed, text)
		}
		var whole struct{ Settings json.RawMessage }
		if err := json.Unmarshal(text, &whole); err != nil {
			t.Fatal(err)
		}
		if f, err := Parse(whole.Settings); err == nil { // a fault here is refused by the caller
			if c, err := f.Config(); err != nil || c.MaxAttempts < 1 || c.Classes[0].LatencyTarget < 1 || c.Classes[1].Deadline < 1 {
				t.Fatal(fmt.Sprint("seed ", seed), err, string(text))
			}
		}
	}
}

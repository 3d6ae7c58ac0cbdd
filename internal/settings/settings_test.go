package settings

import "testing"

func TestParse(t *testing.T) {
	good := `{"Grades":[{"Name":"a"}],"FamilyInfo":{"Consistency":["any"],"ClassBoundUs":[0]},"Unknown":{"x":[1]}}`
	if _, err := Parse([]byte(good)); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{"", "{", `{"Grades":[]}`, `{"Grades":[{"Name":"a"}],"FamilyInfo":{"Consistency":[]}}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}

// Settings that name no number of gateways, or an impossible one, end in service: paces and budgets take the least
// number that fits.
func TestFleetSize(t *testing.T) {
	for _, c := range []struct{ instances, me, want int }{{80, 3, 80}, {1, 0, 1}, {0, 0, 1}, {-5, 0, 1}, {0, 7, 8}, {3, 3, 4}, {3, -1, 3}} {
		f := &Settings{Instances: c.instances, Me: c.me}
		f.Grades = append(f.Grades, struct {
			Name, Effect, KeyScope      string
			AimUs, DeadlineUs, WindowUs int64
			Value, LateValue            float64
		}{Name: "a", Effect: "repeatable", AimUs: 1000, DeadlineUs: 1000})
		f.FamilyInfo.Consistency, f.FamilyInfo.ClassBoundUs = []string{"any"}, []int64{0}
		conf, err := f.Config()
		if err != nil {
			t.Fatal(err)
		}
		if err := conf.Validate(); err != nil || conf.Fronts != c.want {
			t.Errorf("Instances %d, Me %d: %d gateways, %v; want %d", c.instances, c.me, conf.Fronts, err, c.want)
		}
	}
}

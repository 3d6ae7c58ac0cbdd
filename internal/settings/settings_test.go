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

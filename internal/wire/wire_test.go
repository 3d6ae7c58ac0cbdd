package wire

import "testing"

func TestParse(t *testing.T) {
	tests := []struct {
		line, name, field, want string
		ok                      bool
	}{
		{"FLUSH", "FLUSH", "", "", true},
		{"WAKE FrontId=front-3 Handle=sweep", "WAKE", "Handle", "sweep", true},
		{"EMIT FrontId=f ReasonText=two words a=b", "EMIT", "ReasonText", "two words a=b", true},
		{"WAKE FrontId", "", "", "", false},
		{"WAKE =x", "", "", "", false},
		{"=x", "", "", "", false},
		{"", "", "", "", false},
	}
	for _, tc := range tests {
		var l Line
		err := l.Parse(tc.line)
		if (err == nil) != tc.ok {
			t.Errorf("%q: error %v", tc.line, err)
			continue
		}
		if !tc.ok {
			continue
		}
		if got, _ := l.Field(tc.field); l.Name != tc.name || got != tc.want {
			t.Errorf("%q: name %q, %s = %q", tc.line, l.Name, tc.field, got)
		}
	}
}

func TestReaderFaults(t *testing.T) {
	tests := map[string]func(*Reader){
		"missing":   func(r *Reader) { r.Text("Job") },
		"not whole": func(r *Reader) { r.Int("Num") },
		"not 0/1":   func(r *Reader) { r.Bool("Num") },
		"bad pair":  func(r *Reader) { r.EachFigure("Num", func(string, float64) {}) },
		"not num":   func(r *Reader) { r.OptNum("Word", 0) },
	}
	for name, read := range tests {
		var l Line
		if err := l.Parse("X Num=1.5 Word=abc"); err != nil {
			t.Fatal(err)
		}
		r := &Reader{Line: &l}
		if read(r); r.Err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

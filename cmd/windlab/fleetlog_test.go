package main

import (
	"strings"
	"testing"
)

func TestFleetlog(t *testing.T) {
	var f fleetlog
	for _, log := range []string{
		"0.1 time=2026-12-01T10:00:00.100Z level=INFO msg=serving name=n1\n" +
			"time=2026-12-01T10:00:02.100Z level=INFO msg=list version=3\nnoise\ntime=x msg=y\n" +
			"time=2026-12-01T10:00:02.200Z level=INFO msg=\"decide: s-0a1b is suspect\"\n",
		"time=2026-12-01T10:00:00.200Z msg=serving\ntime=2026-12-01T10:00:02.300Z msg=\"decide: s-9f is suspect\"\n" +
			"time=2026-12-01T10:00:02.900Z msg=serving\ntime=2026-12-01T10:00:05.900Z msg=list\n",
	} {
		if err := f.read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	f.report(&out)
	want := "   0 s  2 serving\n   2 s  2 decide: * is suspect  1 list  1 serving\n   5 s  1 list\n" +
		"first list after a start: 2, median 3s, last 3s; never: 1\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

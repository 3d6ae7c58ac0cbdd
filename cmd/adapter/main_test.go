package main

import (
	"strings"
	"testing"
)

const facts = `{"Instances":1,"Me":0,"Zone":"a","Allowed":{"Probes":true,"MayCancel":true},"Discovery":"push",` +
	`"FamilyInfo":{"Consistency":["any"],"ClassBoundUs":[0],"ServerChecks":"off"},` +
	`"Grades":[{"Name":"r","Effect":"repeatable","KeyScope":"all","AimUs":100000,"DeadlineUs":500000,"Value":1}]}`

const setup = "TURN WallUs=1000\nPROVISION FrontId=front-0 Seed=5 Facts=" + facts + "\n" +
	"SHEET Bank=0 Items=2\nSTORE Heft=1 Store=store.a Db=1 Leader=1 State=up\nSTORE Store=store.b Db=1 State=up\n" +
	"DISCOVERY FrontId=front-0 How=Persisted Version=1 Bank=0\n"

func TestBatch(t *testing.T) {
	var out strings.Builder
	in := setup + "JOB_IN FrontId=front-0 Job=7 RemainingUs=400000 SetNo=1 Band=r New=1\nFLUSH\nTURN WallUs=2000\nFLUSH\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "DELIVER FrontId=front-0 Job=7 Store=store.b TryForUs=100000\n") {
		t.Errorf("no send to the replica in %q", out.String())
	}
	if n := strings.Count(out.String(), "END\n"); n != 2 {
		t.Errorf("%d replies, want 2", n)
	}
}

func TestBadLines(t *testing.T) {
	tests := map[string]struct{ in, want string }{
		"unknown message":  {setup + "NONSENSE FrontId=front-0\n", "line 7: unknown message"},
		"unknown instance": {setup + "WAKE FrontId=front-9 Handle=x\n", `line 7: WAKE: unknown instance "front-9"`},
		"missing field":    {setup + "JOB_IN FrontId=front-0 Band=r RemainingUs=1\n", "missing field Job"},
		"unknown class":    {setup + "JOB_IN FrontId=front-0 Job=1 Band=z RemainingUs=1\n", "unknown word"},
		"no turn":          {"FLUSH\n", "out of place"},
		"cut short":        {setup, "input ends inside a batch"},
		"clock back":       {"TURN WallUs=9\nFLUSH\nTURN WallUs=8\n", "goes back"},
		"stray store":      {"TURN WallUs=9\nSTORE Store=store.a State=up\n", "STORE"},
		"no sheet":         {setup + "DISCOVERY FrontId=front-0 How=Complete Bank=3\n", "no SHEET"},
	}
	for name, tc := range tests {
		err := run(strings.NewReader(tc.in), new(strings.Builder))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, tc.want)
		}
	}
}

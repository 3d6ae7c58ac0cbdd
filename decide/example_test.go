package decide_test

import (
	"fmt"
	"time"

	"reachwind/decide"
)

// A read follows a write of its session; then the group's primary changes.
func Example() {
	cfg := decide.Config{
		Fronts: 1, RemembersSessions: true, AnswersHavePosition: true, MayProbe: true,
		Classes: []decide.Class{
			{Name: "read", LatencyTarget: 200 * time.Millisecond, Deadline: time.Second, Value: 1, Consistency: decide.Session},
			{Name: "write", LatencyTarget: time.Second, Deadline: 3 * time.Second, Value: 3, LateValue: 0.5,
				Consistency: decide.Write, Effect: decide.Once},
		},
	}
	r, err := decide.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	step := func(events ...decide.Event) {
		for _, a := range r.Step(now, events, nil) {
			if a.Kind == decide.Send {
				fmt.Printf("request %d to %s\n", a.Request, a.Member)
			}
		}
		now += 10 * time.Millisecond
	}
	arrive := func(id uint64, class int) decide.Event {
		return decide.Event{Kind: decide.Arrive, Request: id, Class: class, Tenant: -1, Session: "ann", Remaining: time.Second}
	}
	step(decide.Event{Kind: decide.ListSaved, Members: []decide.Member{{ID: "old", Primary: true}, {ID: "new"}}})
	step(arrive(1, 1))
	step(decide.Event{Kind: decide.Outcome, Request: 1, Member: "old", Result: decide.Served, Ended: true,
		Role: decide.Primary, HasPosition: true, Position: now})
	step(arrive(2, 0)) // no replica is known to have the write, and a probe does not show one
	step(decide.Event{Kind: decide.Probed, Member: "new", Result: decide.TimedOut})
	step(decide.Event{Kind: decide.Outcome, Request: 2, Member: "old", Result: decide.Served, Ended: true, Role: decide.Primary})
	step(arrive(3, 1))
	step(decide.Event{Kind: decide.Outcome, Request: 3, Member: "old", Result: decide.Misdirected, Role: decide.Replica})
	step(decide.Event{Kind: decide.Probed, Member: "new", Result: decide.Served,
		Report: decide.Report{HasPosition: true, Position: now, HasRole: true, Role: decide.Primary}})
	// Output:
	// request 1 to old
	// request 2 to old
	// request 3 to old
	// request 3 to new
}

package gateway

import (
	"log/slog"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

// TestSuccessorUsesListNoLonger guards against a successor that uses the list of the process before for longer than that
// process would, while discovery is silent.
func TestSuccessorUsesListNoLonger(t *testing.T) {
	dir := t.TempDir()
	classes := []decide.Class{{Name: "any", LatencyTarget: time.Second, Deadline: time.Second, Value: 1}}
	clock := core.NewClock()
	process := func(discovery string) (*Config, core.Decider) {
		c := &Config{Discovery: discovery}
		shared := openHandover(dir, c, clock.Now, slog.New(slog.DiscardHandler))
		t.Cleanup(shared.shared.Close)
		shared.listVersion = func() int64 { return 1 }
		shared.loadList(c)
		router, err := decide.New(decide.Config{Fronts: 1, ListOnRequest: true, Classes: classes}, 1)
		if err != nil {
			t.Fatal(err)
		}
		decider := shared.shareDeadlines(router)
		events := []decide.Event{{Kind: decide.ListSaved}}
		if c.listCurrent || c.listUsable != 0 {
			events = append(events, c.savedListEvent())
		}
		decider.Step(clock.Now(), events, nil)
		shared.List(decide.ListFull, []core.ListedMember{{Member: decide.Member{ID: "a"}}})
		for shared.isSaving() {
			time.Sleep(time.Millisecond)
		}
		return c, decider
	}
	_, former := process("old:1")
	const left = 500 * time.Millisecond // of the 4 s after a move
	former.Step(clock.Now(), []decide.Event{{Kind: decide.ListFull}, {Kind: decide.DiscoveryMoved, Elapsed: 4*time.Second - left}}, nil)
	for _, discovery := range []string{"old:1", "new:1"} { // the second does not take the list over
		c, decider := process(discovery)
		if c.listCurrent != (discovery == "old:1") {
			t.Errorf("%s: the list is taken over: %v", discovery, c.listCurrent)
		}
		if usable := decider.(*deadlineSharer).ListUsableUntil() - clock.Now(); usable > left+200*time.Millisecond {
			t.Errorf("%s: the successor uses the list for %v, the former process for less than %v", discovery, usable, left)
		}
	}
}

// isSaving reports whether the list is being saved.
func (s *processHandover) isSaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saving
}

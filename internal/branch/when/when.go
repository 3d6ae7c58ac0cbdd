// Package when decides whether one gateway of a field office considers the office cut off, and whether a write is sent
// or queued (never both). It does no I/O, starts no goroutine and reads no clock: callers pass events and the time.
package when

import (
	"cmp"
	"fmt"
	"time"

	"reachwind/internal/fleet/view"
)

// Time is a point on the caller's monotonic clock, or a duration on it.
type Time = time.Duration

// Config holds the time limits of a Detector. Zero values select the defaults, which stand in brackets.
type Config struct {
	Groups         []string // the clusters that the office's writes go to
	CutOffAfter    Time     // cut off once nothing beyond the office has answered for this long (3 s)
	AloneAfter     Time     // as CutOffAfter, while no other gateway of the office is reachable either (10 s)
	Fresh          Time     // how long an answer counts towards recovery, and a peer's report against a cut (2 s)
	MinRecovery    Time     // the link must work this long before the office counts as linked (2 s); doubles with each change within a minute
	MaxRecovery    Time     // upper limit of that time (60 s); it halves for each minute without a change
	PauseThreshold Time     // a longer gap between two calls of Evaluate means that this process was paused (1 s)
}

// PeerView is what the fleet view currently reports about other gateways.
type PeerView struct {
	Verdict    view.Verdict
	InOffice   int  // reachable gateways of this office, without this one
	Beyond     int  // reachable gateways beyond the office
	SeesBeyond bool // a gateway of the office reported within Fresh that it gets answers from beyond
}

// Status is the current verdict with its reason.
type Status struct {
	CutOff bool
	Number uint64 // increases with each change
	Since  Time
	Reason string
}

// Guard is a bit for one rule that keeps a verdict right or a key on one route; tests disable them one at a time.
type Guard uint16

// The guards.
const (
	GuardGroups   Guard = 1 << iota // silence of one group is not a cut
	GuardAnswers                    // a refusal counts as an answer
	GuardGateways                   // while a gateway beyond the office is reachable, there is no cut
	GuardPeers                      // what only this gateway cannot reach is not a cut
	GuardPause                      // silence during a pause of this process does not count
	GuardProbes                     // silence counts only if somebody was probed
	GuardAlone                      // a gateway that reaches no other gateway waits longer
	GuardSteady                     // recovery must last, for longer the more the link flaps
	GuardSent                       // a key that was sent is not queued
	GuardQueued                     // a key that is queued is not sent
	GuardVouch                      // the office's other gateways are asked, and keep their promise
	GuardForget                     // a gateway that may have forgotten keys does not vouch
)

// Guards lists all guards with the property that each protects.
var Guards = []struct {
	Guard Guard
	Keeps string
}{
	{GuardGroups, "a lost group is no cut"},
	{GuardAnswers, "an election is no cut"},
	{GuardGateways, "stores that are down are no cut"},
	{GuardPeers, "a gateway's own trouble is no cut"},
	{GuardPause, "a slow gateway sees no cut"},
	{GuardProbes, "quiet is no cut"},
	{GuardAlone, "a gateway that was unplugged for some seconds sees no cut"},
	{GuardSteady, "a flapping link does not change the way each time"},
	{GuardSent, "what was sent is not queued as new"},
	{GuardQueued, "what is queued is not sent as well"},
	{GuardVouch, "two gateways do not take a key both ways"},
	{GuardForget, "a restart, or a full table, does not take a key both ways"},
}

const (
	flapWindow   = time.Minute
	silentProbes = 3 // unanswered probes in a row after which a group counts as silent
)

type group struct {
	lastAnswer Time
	unanswered int  // probes without an answer since then
	lastSilent Time // time of the last of them
}

// Detector decides for one gateway whether its office is cut off. Not safe for concurrent use.
type Detector struct {
	cfg           Config
	off           Guard
	status        Status
	groups        map[string]*group
	lastBeyond    Time // last answer of anybody beyond the office
	silenceFrom   Time // silence before this time does not count
	lastEvaluated Time
	okSince       Time // since when most groups have answered; distantPast = they do not
	recoveryTime  Time
	lastChange    Time
}

const distantPast Time = -1 << 60

// New returns the detector of a starting gateway: linked until it has observed silence itself. Guards in off are disabled.
func New(cfg Config, now Time, off Guard) *Detector {
	cfg.CutOffAfter = cmp.Or(cfg.CutOffAfter, 3*time.Second)
	cfg.AloneAfter = cmp.Or(cfg.AloneAfter, 10*time.Second)
	cfg.Fresh = cmp.Or(cfg.Fresh, 2*time.Second)
	cfg.MinRecovery = cmp.Or(cfg.MinRecovery, 2*time.Second)
	cfg.MaxRecovery = cmp.Or(cfg.MaxRecovery, time.Minute)
	cfg.PauseThreshold = cmp.Or(cfg.PauseThreshold, time.Second)
	j := &Detector{cfg: cfg, off: off, groups: map[string]*group{}, lastBeyond: distantPast, silenceFrom: now, lastEvaluated: now, okSince: distantPast,
		recoveryTime: cfg.MinRecovery, lastChange: distantPast, status: Status{Number: 1, Since: now, Reason: "started"}}
	for _, g := range cfg.Groups {
		j.groups[g] = &group{lastAnswer: distantPast}
	}
	return j
}

func (j *Detector) enabled(g Guard) bool { return j.off&g == 0 }

// Status returns the current verdict.
func (j *Detector) Status() Status { return j.status }

// RecordAnswer records that a member of a group beyond the office answered anything at all: a row, a refusal or an
// error. Refusal is true if the answer was a refusal.
func (j *Detector) RecordAnswer(now Time, name string, refusal bool) {
	g := j.groups[name]
	if g == nil || refusal && !j.enabled(GuardAnswers) {
		return
	}
	g.lastAnswer, g.unanswered, j.lastBeyond = now, 0, now
}

// RecordSilence records that a probe of, or an attempt at, a member of a group ended without an answer.
func (j *Detector) RecordSilence(now Time, name string) {
	if g := j.groups[name]; g != nil {
		g.unanswered++
		g.lastSilent = now
	}
}

// Evaluate updates the verdict from the fleet view and reports whether it changed. Call it every 250 ms.
func (j *Detector) Evaluate(now Time, p PeerView) bool {
	if now-j.lastEvaluated > j.cfg.PauseThreshold && j.enabled(GuardPause) { // this process was paused: answers that it missed prove nothing
		j.silenceFrom, j.okSince = now, distantPast
		for _, g := range j.groups {
			g.unanswered = 0
		}
	}
	j.lastEvaluated = now
	if now-j.lastChange > flapWindow && j.recoveryTime > j.cfg.MinRecovery {
		j.recoveryTime, j.lastChange = max(j.cfg.MinRecovery, j.recoveryTime/2), now
	}
	if p.Beyond > 0 && j.enabled(GuardGateways) {
		j.lastBeyond = now
	}
	if j.status.CutOff {
		return j.checkRecovery(now, p)
	}
	quiet := now - max(j.silenceFrom, j.lastBeyond)
	if !j.enabled(GuardGroups) { // treat each group as if it were the only one
		for _, g := range j.groups {
			quiet = max(quiet, now-max(j.silenceFrom, g.lastAnswer))
		}
	}
	silent := 0
	for _, g := range j.groups {
		if g.unanswered >= silentProbes && now-g.lastSilent < j.cfg.Fresh {
			silent++
		}
	}
	wait := j.cfg.CutOffAfter
	if (p.InOffice == 0 || p.Verdict == view.Alone) && j.enabled(GuardAlone) {
		wait = j.cfg.AloneAfter
	}
	switch {
	case quiet < wait:
	case p.SeesBeyond && j.enabled(GuardPeers):
	case silent < len(j.groups) && j.enabled(GuardProbes) && j.enabled(GuardGroups):
	default:
		j.setCutOff(now, true, fmt.Sprintf("no answer from beyond the office for %v: %d groups did not answer probes, no other gateway of the office (%d reachable) gets answers",
			quiet.Round(10*time.Millisecond), silent, p.InOffice))
		return true
	}
	return false
}

// checkRecovery ends the cut once most groups have answered for the recovery time.
func (j *Detector) checkRecovery(now Time, p PeerView) bool {
	ok := 0
	for _, g := range j.groups {
		if now-g.lastAnswer < j.cfg.Fresh {
			ok++
		}
	}
	if 2*ok <= len(j.groups) {
		j.okSince = distantPast
		return false
	}
	if j.okSince == distantPast {
		j.okSince = now
	}
	if now-j.okSince < j.recoveryTime && j.enabled(GuardSteady) {
		return false
	}
	j.setCutOff(now, false, fmt.Sprintf("%d of %d groups have answered for %v, %d gateways beyond the office are reachable",
		ok, len(j.groups), now-j.okSince, p.Beyond))
	return true
}

func (j *Detector) setCutOff(now Time, cut bool, why string) {
	if now-j.lastChange < flapWindow {
		j.recoveryTime = min(2*j.recoveryTime, j.cfg.MaxRecovery)
	}
	j.lastChange, j.silenceFrom, j.okSince = now, now, distantPast
	for _, g := range j.groups {
		g.unanswered = 0
	}
	j.status = Status{CutOff: cut, Number: j.status.Number + 1, Since: now, Reason: why}
}

// Package when tells whether a field office counts as cut off, as one of its gateways sees it, and which one way a
// write goes: sent, or queued. It does no I/O, starts no goroutine and reads no clock: events and a time in.
package when

import (
	"cmp"
	"fmt"
	"time"

	"reachwind/internal/fleet/view"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Config bounds the judgement. Zero values stand for the defaults.
type Config struct {
	Groups         []string // the clusters that the office's writes go to
	CutOffAfter    Time     // silence of all beyond the office (3 s)
	AloneAfter     Time     // the same where no other gateway of the office is reached either (10 s)
	Fresh          Time     // an answer counts for so long towards being back, a peer's word against a cut (2 s)
	MinRecovery    Time     // the link has to hold so long before it counts (2 s), doubling with each change in quick succession
	MaxRecovery    Time     // up to this (60 s), halving for each minute without
	PauseThreshold Time     // a call of Judge later than this after the one before shows an own pause (1 s)
}

// PeerView is what the view tells of other gateways now.
type PeerView struct {
	Verdict    view.Verdict
	InOffice   int  // gateways of this office that are reached, without this one
	Beyond     int  // gateways beyond it
	SeesBeyond bool // some gateway of the office told, within Fresh, that it is answered from beyond
}

// Status is the verdict with its reason.
type Status struct {
	CutOff bool
	Number uint64 // grows with each change
	Since  Time
	Reason string
}

// Guard is one thing that keeps a verdict right, or a key to its one way; checks switch them off one by one.
type Guard uint16

// The guards.
const (
	GuardGroups   Guard = 1 << iota // silence of one group is no cut
	GuardAnswers                    // an answer that refuses is an answer
	GuardGateways                   // a gateway beyond that is reached is no cut
	GuardPeers                      // nor is what only this gateway does not reach
	GuardPause                      // nothing is learned across an own pause
	GuardProbes                     // silence counts only where somebody was asked
	GuardAlone                      // a gateway that reaches nobody at all waits longer
	GuardSteady                     // being back has to last, the longer the more it flaps
	GuardSent                       // a key that was sent is not queued
	GuardQueued                     // a key that is queued is not sent
	GuardVouch                      // others are asked, and hold to what they said
	GuardForget                     // who may have forgotten keys says so
)

// Guards are all of them, with what each keeps.
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
	silentProbes = 3 // silent looks at each group that make silence
)

type group struct {
	lastAnswer Time
	unanswered int  // looks without an answer since
	lastSilent Time // the last of them
}

// Detector is one gateway's. It is its owner's alone.
type Detector struct {
	cfg           Config
	off           Guard
	status        Status
	groups        map[string]*group
	lastBeyond    Time // the last answer from beyond, of whomever
	silenceFrom   Time // silence counts from here
	lastEvaluated Time
	okSince       Time // most groups have answered ever since; never = they do not
	recoveryTime  Time
	lastChange    Time
}

const distantPast Time = -1 << 60

// New returns the judgement of a gateway that starts: linked until it has seen silence itself.
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

// Status is the verdict now.
func (j *Detector) Status() Status { return j.status }

// RecordAnswer tells that a member of a group beyond the office answered anything at all: a row, a refusal, an error.
// Refusal tells that it was none that serves.
func (j *Detector) RecordAnswer(now Time, name string, refusal bool) {
	g := j.groups[name]
	if g == nil || refusal && !j.enabled(GuardAnswers) {
		return
	}
	g.lastAnswer, g.unanswered, j.lastBeyond = now, 0, now
}

// RecordSilence tells that a look at, or a try with, a member of a group ended without an answer.
func (j *Detector) RecordSilence(now Time, name string) {
	if g := j.groups[name]; g != nil {
		g.unanswered++
		g.lastSilent = now
	}
}

// Evaluate looks anew, with what the view tells, and reports whether the verdict changed. It is to be called each 250 ms.
func (j *Detector) Evaluate(now Time, p PeerView) bool {
	if now-j.lastEvaluated > j.cfg.PauseThreshold && j.enabled(GuardPause) { // this process stood still: what it missed says nothing
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
	if !j.enabled(GuardGroups) { // as if each group were the only one
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
		j.setCutOff(now, true, fmt.Sprintf("nobody beyond the office has answered for %v: %d groups were looked at in vain, no other gateway of the office (%d reached) sees any",
			quiet.Round(10*time.Millisecond), silent, p.InOffice))
		return true
	}
	return false
}

// checkRecovery looks whether the link is back and stays.
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
	j.setCutOff(now, false, fmt.Sprintf("%d of %d groups have answered for %v, %d gateways beyond are reached",
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

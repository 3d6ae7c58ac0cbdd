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
	Groups     []string // the clusters that the office's writes go to
	CutAfter   Time     // silence of all beyond the office (3 s)
	AloneAfter Time     // the same where no other gateway of the office is reached either (10 s)
	Fresh      Time     // an answer counts for so long towards being back, a peer's word against a cut (2 s)
	BackMin    Time     // the link has to hold so long before it counts (2 s), doubling with each change in quick succession
	BackMax    Time     // up to this (60 s), halving for each minute without
	Late       Time     // a call of Judge later than this after the one before shows an own pause (1 s)
}

// Peers is what the view tells of other gateways now.
type Peers struct {
	Verdict view.Verdict
	Office  int  // gateways of this office that are reached, without this one
	Far     int  // gateways beyond it
	SeesFar bool // some gateway of the office told, within Fresh, that it is answered from beyond
}

// Status is the verdict with its reason.
type Status struct {
	Cut    bool
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
	GuardLooks                      // silence counts only where somebody was asked
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
	{GuardLooks, "quiet is no cut"},
	{GuardAlone, "a gateway that was unplugged for some seconds sees no cut"},
	{GuardSteady, "a flapping link does not change the way each time"},
	{GuardSent, "what was sent is not queued as new"},
	{GuardQueued, "what is queued is not sent as well"},
	{GuardVouch, "two gateways do not take a key both ways"},
	{GuardForget, "a restart, or a full table, does not take a key both ways"},
}

const (
	calm  = time.Minute
	looks = 3 // silent looks at each group that make silence
)

type group struct {
	answered Time
	silent   int  // looks without an answer since
	looked   Time // the last of them
}

// Judge is one gateway's. It is its owner's alone.
type Judge struct {
	cfg     Config
	off     Guard
	status  Status
	groups  map[string]*group
	far     Time // the last answer from beyond, of whomever
	base    Time // silence counts from here
	judged  Time
	okSince Time // most groups have answered ever since; never = they do not
	back    Time
	changed Time
}

const never Time = -1 << 60

// New returns the judgement of a gateway that starts: linked until it has seen silence itself.
func New(cfg Config, now Time, off Guard) *Judge {
	cfg.CutAfter = cmp.Or(cfg.CutAfter, 3*time.Second)
	cfg.AloneAfter = cmp.Or(cfg.AloneAfter, 10*time.Second)
	cfg.Fresh = cmp.Or(cfg.Fresh, 2*time.Second)
	cfg.BackMin = cmp.Or(cfg.BackMin, 2*time.Second)
	cfg.BackMax = cmp.Or(cfg.BackMax, time.Minute)
	cfg.Late = cmp.Or(cfg.Late, time.Second)
	j := &Judge{cfg: cfg, off: off, groups: map[string]*group{}, far: never, base: now, judged: now, okSince: never,
		back: cfg.BackMin, changed: never, status: Status{Number: 1, Since: now, Reason: "started"}}
	for _, g := range cfg.Groups {
		j.groups[g] = &group{answered: never}
	}
	return j
}

func (j *Judge) on(g Guard) bool { return j.off&g == 0 }

// Status is the verdict now.
func (j *Judge) Status() Status { return j.status }

// Answered tells that a member of a group beyond the office answered anything at all: a row, a refusal, an error.
// Refusal tells that it was none that serves.
func (j *Judge) Answered(now Time, name string, refusal bool) {
	g := j.groups[name]
	if g == nil || refusal && !j.on(GuardAnswers) {
		return
	}
	g.answered, g.silent, j.far = now, 0, now
}

// Silent tells that a look at, or a try with, a member of a group ended without an answer.
func (j *Judge) Silent(now Time, name string) {
	if g := j.groups[name]; g != nil {
		g.silent++
		g.looked = now
	}
}

// Judge looks anew, with what the view tells, and reports whether the verdict changed. It is to be called each 250 ms.
func (j *Judge) Judge(now Time, p Peers) bool {
	if now-j.judged > j.cfg.Late && j.on(GuardPause) { // this process stood still: what it missed says nothing
		j.base, j.okSince = now, never
		for _, g := range j.groups {
			g.silent = 0
		}
	}
	j.judged = now
	if now-j.changed > calm && j.back > j.cfg.BackMin {
		j.back, j.changed = max(j.cfg.BackMin, j.back/2), now
	}
	if p.Far > 0 && j.on(GuardGateways) {
		j.far = now
	}
	if j.status.Cut {
		return j.mend(now, p)
	}
	quiet := now - max(j.base, j.far)
	if !j.on(GuardGroups) { // as if each group were the only one
		for _, g := range j.groups {
			quiet = max(quiet, now-max(j.base, g.answered))
		}
	}
	silent := 0
	for _, g := range j.groups {
		if g.silent >= looks && now-g.looked < j.cfg.Fresh {
			silent++
		}
	}
	wait := j.cfg.CutAfter
	if (p.Office == 0 || p.Verdict == view.Alone) && j.on(GuardAlone) {
		wait = j.cfg.AloneAfter
	}
	switch {
	case quiet < wait:
	case p.SeesFar && j.on(GuardPeers):
	case silent < len(j.groups) && j.on(GuardLooks) && j.on(GuardGroups):
	default:
		j.turn(now, true, fmt.Sprintf("nobody beyond the office has answered for %v: %d groups were looked at in vain, no other gateway of the office (%d reached) sees any",
			quiet.Round(10*time.Millisecond), silent, p.Office))
		return true
	}
	return false
}

// mend looks whether the link is back and stays.
func (j *Judge) mend(now Time, p Peers) bool {
	ok := 0
	for _, g := range j.groups {
		if now-g.answered < j.cfg.Fresh {
			ok++
		}
	}
	if 2*ok <= len(j.groups) {
		j.okSince = never
		return false
	}
	if j.okSince == never {
		j.okSince = now
	}
	if now-j.okSince < j.back && j.on(GuardSteady) {
		return false
	}
	j.turn(now, false, fmt.Sprintf("%d of %d groups have answered for %v, %d gateways beyond are reached",
		ok, len(j.groups), now-j.okSince, p.Far))
	return true
}

func (j *Judge) turn(now Time, cut bool, why string) {
	if now-j.changed < calm {
		j.back = min(2*j.back, j.cfg.BackMax)
	}
	j.changed, j.base, j.okSince = now, now, never
	for _, g := range j.groups {
		g.silent = 0
	}
	j.status = Status{Cut: cut, Number: j.status.Number + 1, Since: now, Reason: why}
}

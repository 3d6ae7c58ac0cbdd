package pgmember

import (
	"time"

	"reachwind/internal/core"
)

// This file tells operators which streamed answers wait for members that are silent.

// silenceLogInterval is the time between two log lines about the silence of a member.
const silenceLogInterval = 10 * time.Second

// streamCounts counts the answers that one member streams.
type streamCounts struct {
	open, silent int
	longest      time.Duration // of the silences
}

// countStreams counts the answers that m streams.
func (m *member) countStreams(now core.Time) (n streamCounts) {
	for _, c := range m.busy {
		if c.stream.current.Load() == nil {
			continue
		}
		n.open++
		if since := core.Time(c.stream.silentSince.Load()); since != 0 {
			n.silent++
			n.longest = max(n.longest, now-since)
		}
	}
	return n
}

// logSilence logs how many streamed answers wait for m while it is silent, and the end of that.
func (p *Pool) logSilence(m *member) {
	now := p.core.Now()
	n := m.countStreams(now)
	switch {
	case n.silent > 0 && (m.silenceLoggedAt == 0 || now-m.silenceLoggedAt >= silenceLogInterval):
		m.silenceLoggedAt = now
		p.log.Warn("streamed answers wait for a silent member", "member", m.id, "open", n.open, "silent", n.silent,
			"longest", n.longest.Round(time.Millisecond))
	case n.silent == 0 && m.silenceLoggedAt != 0:
		m.silenceLoggedAt = 0
		p.log.Info("no streamed answer waits for the member any more", "member", m.id, "open", n.open)
	}
}

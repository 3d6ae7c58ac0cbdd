package pgmember

import (
	"errors"
	"time"
)

// This file decides how long a member may pause within an answer.

const (
	// stallTimeout is the pause within an answer that is buffered whole after which the member is taken to be stuck: another
	// attempt may still answer in time.
	stallTimeout = 100 * time.Millisecond
	// silenceNotice is the pause within a streamed answer after which its member counts as silent.
	silenceNotice = time.Second
	// maxStreamSilence is the pause that ends a streamed answer whose member's system still acknowledges. Members hang for up to
	// 27 s, and after a network failure as long as that TCP may wait as long again before it sends.
	maxStreamSilence = 2 * time.Minute
)

var (
	errStalled      = errors.New("answer stalled")
	errMemberSilent = errors.New("member sent nothing for " + maxStreamSilence.String())
)

// watchForStall schedules a check for a stall, unless one is due or the next n bytes of the answer are buffered.
func (c *conn) watchForStall(a *answer, n int) {
	if a.job == nil || a.stallCheckDue || c.Reader.Buffered() >= n {
		return
	}
	first := stallTimeout
	if a.endStream != nil {
		first = silenceNotice
	}
	c.scheduleStallCheck(a, first)
}

// scheduleStallCheck makes the goroutine check for a stall after the given time.
func (c *conn) scheduleStallCheck(a *answer, delay time.Duration) {
	a.stallCheckDue = true
	if a.stallTimer != nil {
		a.stallTimer.Reset(delay)
		return
	}
	j := a.job
	a.stallTimer = time.AfterFunc(delay, func() { c.Post(order{job: j, checkStall: true}) })
}

// endStallChecks cancels the check that is due, so that its timer does not keep the answer in memory.
func (c *conn) endStallChecks(a *answer) {
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	c.noteSound(a)
}

// checkStall carries out a check: it fails if the member has paused for too long, else it schedules the next one.
func (c *conn) checkStall(a *answer) error {
	a.stallCheckDue = false
	if a.betweenMessages {
		return nil
	}
	if a.endStream != nil {
		return c.checkStreamSilence(a)
	}
	left := stallTimeout - c.SilentFor()
	if left <= 0 {
		return errStalled
	}
	c.scheduleStallCheck(a, left)
	return nil
}

// checkStreamSilence is checkStall for a streamed answer. Once it has begun, no other member can answer the request, so a
// member that hangs is waited for.
func (c *conn) checkStreamSilence(a *answer) error {
	silentFor := min(c.SilentFor(), time.Since(a.lastStreamed))
	if silentFor >= maxStreamSilence {
		return errMemberSilent
	}
	if silentFor < silenceNotice {
		c.scheduleStallCheck(a, silenceNotice-silentFor)
		return nil
	}
	c.noteSilent(a, silentFor)
	c.scheduleStallCheck(a, maxStreamSilence-silentFor)
	return c.passOnTail(a)
}

// noteSilent records that the member of a streamed answer has been silent for so long.
func (c *conn) noteSilent(a *answer, silentFor time.Duration) {
	a.silent = true
	c.stream.silentSince.Store(int64(c.pool.core.Now() - silentFor))
}

// noteSound records that the member of a streamed answer sends again, or that the answer has ended.
func (c *conn) noteSound(a *answer) {
	if !a.silent {
		return
	}
	a.silent = false
	c.stream.silentSince.Store(0)
	if a.stallTimer.Stop() { // else the check is in the mailbox
		a.stallCheckDue = false
	}
}

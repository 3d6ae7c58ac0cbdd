package pgfront

import (
	"time"

	"reachwind/internal/core"
	"reachwind/internal/throttle"
)

// This file limits the work that a client causes without any work of a member.

// chargeLocal counts a command of n bytes that the front answered by itself.
func (c *conn) chargeLocal(n int) {
	c.work.Charge(throttle.LocalCommand.WithBytes(n), c.s.core.Now())
}

// chargeAnswered counts a request of n bytes by the core's answer.
func (c *conn) chargeAnswered(n int, a core.Answer) {
	if a.Attempted {
		c.work.Served()
		return
	}
	c.work.Charge(throttle.RefusedCommand.WithBytes(n), c.s.core.Now())
}

// awaitTurn waits until the client may cause more work. Meanwhile commands that arrive are read as far as the reader has
// room, as their time counts from then. It waits during a shutdown too, as the process must get the processor to end in time.
func (c *conn) awaitTurn() error {
	wait := c.work.Delay(c.s.core.Now())
	if wait <= 0 {
		return nil
	}
	c.s.delayedLog.Info(c.s.log, "client delayed: many commands without work for a member", "client", c.RemoteAddr(), "wait", wait)
	timer := time.AfterFunc(wait, func() { c.Post(message{expiredRead: noRead}) })
	defer timer.Stop()
	for c.work.Delay(c.s.core.Now()) > 0 {
		if err := c.readAhead(false); err != nil {
			return err
		}
	}
	return nil
}

package proc

import (
	"sync"
	"syscall"
	"time"
)

const (
	cpuLimitInterval = 2 * time.Millisecond  // between two checks of the processor time that was used
	cpuLimitBurst    = 20 * time.Millisecond // for so long the share may be used up in advance
)

// LimitCPU keeps the process to a share of one core until the returned function is called: it is suspended whenever it has
// used more than that, and continued once it may go on.
func (g *Gateway) LimitCPU(share float64) (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		defer g.Signal(syscall.SIGCONT)
		last, used := time.Now(), scheduled(g.Pid())
		allowance, suspended := share*cpuLimitBurst.Seconds(), false
		ticker := time.NewTicker(cpuLimitInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-g.done:
				return
			case <-ticker.C:
			}
			now, usedNow := time.Now(), scheduled(g.Pid())
			allowance = min(allowance+share*now.Sub(last).Seconds(), share*cpuLimitBurst.Seconds()) - (usedNow - used).Seconds()
			last, used = now, usedNow
			switch {
			case allowance < 0 && !suspended:
				g.Signal(syscall.SIGSTOP)
				suspended = true
			case allowance >= 0 && suspended:
				g.Signal(syscall.SIGCONT)
				suspended = false
			}
		}
	}()
	return func() {
		close(ended)
		running.Wait()
	}
}

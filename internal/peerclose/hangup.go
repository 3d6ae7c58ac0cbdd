// Package peerclose tells whether a peer has ended its side of a connection behind bytes that nobody has read yet, where a
// read can't tell.
package peerclose

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CheckInterval is how often to look: the standing page wants no attempt to begin 0.1 s after a client left, half of that.
const CheckInterval = 50 * time.Millisecond

// Detected tells whether the peer of a socket has ended its sending side or reset the connection, whatever lies before that
// unread. It does not wait. Of what is no socket it knows nothing and says no.
func Detected(nc any) (seen bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		seen = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return seen || err != nil
}

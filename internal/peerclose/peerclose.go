// Package peerclose detects that a peer has closed its side of a connection while bytes before the close are still
// unread, which a read cannot show.
package peerclose

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CheckInterval is the interval between checks. No attempt may begin later than 100 ms after its client left; this is
// half of that.
const CheckInterval = 50 * time.Millisecond

// Detected reports whether the peer of a socket has closed its sending side or reset the connection, regardless of
// unread bytes before that. It does not block. It returns false if nc is not a socket.
func Detected(nc any) (closed bool) {
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
		closed = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

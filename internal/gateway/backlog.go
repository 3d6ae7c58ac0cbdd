package gateway

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
)

const backlogMost = 4096 // connections taken out of a queue that is about to go; the system's own limit is no higher by default

// takeBacklog accepts who has connected to l and waits to be accepted, without waiting itself: the close of a listener
// resets them all, with what they have sent. It may run beside Accept.
func takeBacklog(l net.Listener, take func(net.Conn), log *slog.Logger) (taken int) {
	if d, ok := l.(*door); ok {
		d.mu.Lock()
		l = d.l
		d.mu.Unlock()
	}
	sc, ok := l.(syscall.Conn)
	if !ok { // no socket, or shut
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // whatever deadline the listener has
		for taken < backlogMost {
			nc, err := acceptNow(int(fd))
			switch {
			case errors.Is(err, syscall.EAGAIN):
				return
			case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
			case err != nil:
				log.Warn("accept failed", "err", err)
				return
			default:
				taken++
				take(nc)
			}
		}
	})
	return taken
}

// acceptNow accepts one connection that waits at a listening socket.
func acceptNow(fd int) (net.Conn, error) {
	n, _, err := syscall.Accept4(fd, syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(n), "client")
	defer func() { _ = f.Close() }() // FileConn has its own
	return net.FileConn(f)
}

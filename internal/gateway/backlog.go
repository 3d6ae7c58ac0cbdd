package gateway

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
)

const maxBacklog = 4096 // connections accepted from a backlog before its socket is closed; Linux's default limit is no higher

// acceptBacklog accepts the connections that wait in l's backlog, hands each to take, and returns their number. It does not
// block. Without it, closing the listener would reset them and lose what they sent. It may run concurrently with Accept.
func acceptBacklog(l net.Listener, take func(net.Conn), log *slog.Logger) (taken int) {
	if toggle, ok := l.(*toggleListener); ok {
		toggle.mu.Lock()
		l = toggle.inner
		toggle.mu.Unlock()
	}
	socket, ok := l.(syscall.Conn)
	if !ok { // not a socket, or disabled
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // runs whatever deadline the listener has
		for taken < maxBacklog {
			nc, err := acceptPending(int(fd))
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

// acceptPending accepts one connection from the backlog of listening socket fd, or fails with EAGAIN if there is none.
func acceptPending(fd int) (net.Conn, error) {
	n, _, err := syscall.Accept4(fd, syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(n), "client")
	defer func() { _ = f.Close() }() // FileConn duplicates the descriptor
	return net.FileConn(f)
}

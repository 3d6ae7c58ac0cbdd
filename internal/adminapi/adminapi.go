// Package adminapi is the admin API of the gateway: HTTP/1.1 on its own address, one call per connection. It has its own
// goroutines and its own limit of connections, so that neither clients nor callers that keep connections open prevent an
// operator from getting an answer.
package adminapi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachwind/internal/logthrottle"
	"reachwind/internal/suspend"
)

// Limits for operators' calls, which are short but may arrive over links of any kind. They depend on no request or setting.
const (
	maxCallSize           = 8 << 10                // size limit of a call in bytes
	maxIDLen              = 256                    // size limit of the id of a db machine in bytes
	readTimeout           = 10 * time.Second       // timeout for reading a call, from the start of the connection
	callTimeout           = 600 * time.Millisecond // timeout for carrying out a call
	writeTimeout          = time.Second            // timeout for writing an answer
	lingerIdleTimeout     = 300 * time.Millisecond // a lingering connection, whose answer a reset could lose, is closed after so long without bytes
	lingerTimeout         = 3 * time.Second        // a lingering connection is closed after so long at the latest,
	maxLingerBytes        = 1 << 20                // or after so many bytes
	acceptRetryPause      = 20 * time.Millisecond  // pause after a failed accept
	capacityTimeout       = 200 * time.Millisecond // wait of a new connection for another to end
	unreadGrace           = 50 * time.Millisecond  // for the rest of a call on a connection that is to end while bytes of it are unread
	acceptGrace           = 3 * time.Millisecond   // no caller must have connected for so long before the listener is closed
	connectionsPerRefusal = 8                      // one connection of so many, and at least one, is allowed for callers being refused
	// closeTimeout bounds Close: calls in progress are finished, and callers read their answers.
	closeTimeout = callTimeout + lingerIdleTimeout + 2*unreadGrace
	// connMemoryBytes is the memory of a connection in bytes: its goroutine, a small buffer and the state of the parser.
	connMemoryBytes = 16 << 10
)

// Config is the configuration of the admin API.
type Config struct {
	Addr           string // address to listen on
	MaxConnections int    // connections at a time, 0: DefaultMaxConnections; half as many more may be closing, and some being refused
}

// DefaultMaxConnections is the default limit of connections.
const DefaultMaxConnections = 64

// Footprint returns the maximum use of memory, in bytes, and of file descriptors, the listener included.
func (c Config) Footprint() (memory int64, files int) {
	n := c.maxConnections()
	n += n/2 + c.maxRefusals()
	return int64(n) * connMemoryBytes, n + 2
}

// maxRefusals is the limit for callers that are being refused at a time.
func (c Config) maxRefusals() int { return max(1, c.maxConnections()/connectionsPerRefusal) }

// maxConnections is the limit of connections, with the default applied.
func (c Config) maxConnections() int {
	if c.MaxConnections <= 0 {
		return DefaultMaxConnections
	}
	return c.MaxConnections
}

// Backend carries out the calls. Its methods return by the end of their context, or immediately if they have none.
type Backend interface {
	// Ready returns nil if this process can serve.
	Ready() error
	// Suspend takes a db machine out of use; nil means that this is in force.
	Suspend(ctx context.Context, id string) error
	// Resume puts a db machine back into use; nil means that this is in force.
	Resume(ctx context.Context, id string) error
}

// NotReadyError is the error of a process that cannot serve.
type NotReadyError struct {
	Found  string
	Remedy string
}

func (e NotReadyError) Error() string {
	return fmt.Sprintf("not ready: %s; want a process that accepts clients and has a list of db machines; %s", e.Found, e.Remedy)
}

// NotDoneError is the error of a call that was not begun in time and will not be carried out.
type NotDoneError struct {
	ID     string
	Waited time.Duration
}

func (e NotDoneError) Error() string {
	return fmt.Sprintf("db machine %q: the gateway did not come to it within %v, want an answer in that time; nothing was changed, call again", e.ID, e.Waited)
}

// UnconfirmedError is the error of a call that was begun but not confirmed to be in force in time.
type UnconfirmedError struct{ NotDoneError }

func (e UnconfirmedError) Error() string {
	return fmt.Sprintf("db machine %q: the gateway began with it, and it was not in force within %v, want it to be in that time; it will be soon, "+
		"call again until the answer is yes", e.ID, e.Waited)
}

// callError is the error of a call that is malformed, or refused before it reaches the backend.
type callError struct {
	status           int
	found, want, fix string
}

func (e callError) Error() string { return fmt.Sprintf("%s; want %s; %s", e.found, e.want, e.fix) }

// Endpoints lists the calls of the API, as it stands in errors.
const Endpoints = "GET /v1/readyz, POST /v1/db-machines/ID/suspend or POST /v1/db-machines/ID/resume"

// httpStatus returns the HTTP status of the answer for err.
func httpStatus(err error) int {
	var bad callError
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &bad):
		return bad.status
	case errors.As(err, new(suspend.UnknownMemberError)):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// Server is the listener of the admin API with its connections.
type Server struct {
	conf     Config
	backend  Backend
	log      *slog.Logger
	listener net.Listener

	mu       sync.Mutex
	conns    []*conn // oldest first
	refusing []*conn // callers being refused
	closed   bool
	active   sync.WaitGroup
	freed    chan struct{} // signalled when a connection ended

	acceptErrorLog, capacityLog, failedCallLog logthrottle.Line
}

// conn is one connection. stage is guarded by the lock of the server.
type conn struct {
	net.Conn
	stage    stage
	extended bool // the deadline was extended once for unread bytes; owned by the reading goroutine
}

// Read implements io.Reader. A read after its deadline fails even if bytes have arrived, so the deadline is extended once
// to read these.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.extended && hasUnread(c.Conn) {
		c.extended = true
		_ = c.SetReadDeadline(time.Now().Add(unreadGrace))
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// stage is the stage of a connection.
type stage int

const (
	incomplete stage = iota // no complete call has been read
	evicting                // asked to end, unless its call turns out to be complete
	executing               // its call is being carried out
	lingering               // it has its answer and lingers
	closing                 // it has its answer and must end now
)

// New returns a server that passes calls to backend. It does nothing before Start.
func New(conf Config, backend Backend, log *slog.Logger) *Server {
	return &Server{conf: conf, backend: backend, log: log, freed: make(chan struct{}, 1)}
}

// Start listens and begins to serve in the background.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.conf.Addr)
	if err != nil {
		return fmt.Errorf("admin_addr: can't listen on %q: %w; want a free address of this machine; configure another one or stop the program that uses it", s.conf.Addr, err)
	}
	s.listener = l
	s.active.Add(1)
	go s.accept()
	return nil
}

// Addr returns the address of the listener. It must not be called before Start.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops the server: callers that have already connected are accepted, complete calls are answered, callers may read
// their answers, and connections that are still open after closeTimeout are closed.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(time.Now().Add(acceptGrace))
	} else {
		_ = s.listener.Close()
	}
	for _, c := range s.conns {
		if c.stage == incomplete {
			c.stage = evicting
			_ = c.SetReadDeadline(time.Now())
		}
	}
	s.mu.Unlock()
	late := time.AfterFunc(closeTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range slices.Concat(s.conns, s.refusing) {
			_ = c.Close()
		}
	})
	s.active.Wait()
	late.Stop()
	_ = s.listener.Close()
}

// accept accepts connections until Close.
func (s *Server) accept() {
	defer s.active.Done()
	for {
		nc, err := s.listener.Accept()
		if err == nil {
			s.admit(nc)
			continue
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed || errors.Is(err, net.ErrClosed) {
			return
		}
		s.acceptErrorLog.Warn(s.log, "operators' accept failed", "err", err) // most likely out of file descriptors
		time.Sleep(acceptRetryPause)
	}
}

// admit accepts a connection and serves it. At the limit, the connection that has been open longest without a complete call
// is asked to end; its goroutine ends it unless what it has read by then is a complete call. If too many connections are
// ending, or all have calls in progress, the new one waits up to capacityTimeout, and is then refused.
func (s *Server) admit(nc net.Conn) {
	c := &conn{Conn: nc}
	limit := s.conf.maxConnections()
	for deadline := time.Now().Add(capacityTimeout); ; {
		s.mu.Lock()
		n := len(s.conns)
		if n >= limit {
			s.evict(n - limit + 1)
		}
		if n < limit+limit/2 {
			if s.closed {
				c.stage = evicting
				_ = c.SetReadDeadline(time.Now().Add(unreadGrace))
			} else {
				_ = c.SetReadDeadline(time.Now().Add(readTimeout))
			}
			s.conns = append(s.conns, c)
			s.active.Add(1)
			s.mu.Unlock()
			go s.serve(c)
			return
		}
		left := time.Until(deadline)
		if left <= 0 || s.closed {
			s.refuse(c)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		wait := time.NewTimer(left)
		select {
		case <-s.freed:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// refuse answers a caller that there are too many calls, or closes its connection without an answer while too many callers
// are being refused. The lock must be held.
func (s *Server) refuse(c *conn) {
	n := len(s.conns)
	s.capacityLog.Warn(s.log, "operators' call refused: too many at a time", "open", n)
	if len(s.refusing) >= s.conf.maxRefusals() {
		_ = c.Close()
		return
	}
	s.refusing = append(s.refusing, c)
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		defer func() {
			_ = c.Close()
			s.mu.Lock()
			s.refusing = slices.DeleteFunc(s.refusing, func(o *conn) bool { return o == c })
			s.mu.Unlock()
		}()
		s.respond(c, callError{http.StatusServiceUnavailable, fmt.Sprintf("%d calls are being answered", n), "fewer at a time", "call again"}, false)
	}()
}

// evict asks connections to end until want are ending: those that have their answer, then the one that has been open
// longest without a complete call. A connection with unread bytes comes last, as they may complete its call. The lock must
// be held.
func (s *Server) evict(want int) {
	var victim *conn
	for _, c := range s.conns {
		switch {
		case c.stage == lingering:
			c.stage = closing
			_ = c.SetReadDeadline(time.Now())
			want--
		case c.stage == closing, c.stage == evicting:
			want--
		case c.stage == incomplete && victim == nil && !hasUnread(c.Conn):
			victim = c
		}
	}
	for _, c := range s.conns {
		if victim == nil && c.stage == incomplete {
			victim = c
		}
	}
	if victim != nil && want > 0 {
		victim.stage = evicting
		_ = victim.SetReadDeadline(time.Now())
		s.capacityLog.Warn(s.log, "operators' connection closed: no whole call, and another needs the room", "open", len(s.conns), "remote", victim.RemoteAddr())
	}
}

// hasUnread reports whether the socket holds bytes that have not been read.
func hasUnread(c net.Conn) (pending bool) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
				pending = err == nil && n > 0
			})
		}
	}
	return pending
}

// setStage sets the stage of a connection and returns the former one.
func (s *Server) setStage(c *conn, to stage) stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := c.stage
	c.stage = to
	return former
}

// serve reads one call and answers it.
func (s *Server) serve(c *conn) {
	defer s.active.Done()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
		s.mu.Unlock()
		select {
		case s.freed <- struct{}{}:
		default:
		}
	}()
	call, err := readCall(c)
	if err != nil && !errors.As(err, new(callError)) {
		return // the caller closed the connection
	}
	if former := s.setStage(c, executing); former == evicting && err != nil { // a call that was complete by then is carried out
		err = callError{http.StatusServiceUnavailable, "no whole call has come, and another caller needs the room", "the call right after connecting", "call again"}
	}
	if err == nil {
		err = s.execute(call)
	}
	head := call != nil && call.Method == http.MethodHead
	s.respond(c, err, head)
	if err != nil {
		args := []any{"remote", c.RemoteAddr(), "status", httpStatus(err), "err", err}
		if call != nil {
			args = append(args, "method", call.Method, "path", call.URL.Path)
		}
		s.failedCallLog.Info(s.log, "operator's call answered no", args...)
	}
}

// respond writes an answer and closes the connection by a lingering close: it closes the sending side and reads what the
// caller still sends, because closing a socket with unread bytes resets the connection, and the caller could lose the
// answer. lingerIdleTimeout, lingerTimeout and maxLingerBytes bound it, and evict ends it earlier.
func (s *Server) respond(c *conn, err error, head bool) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(response(err, head)); err != nil {
		return
	}
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	c.extended = false
	s.setStage(c, lingering)
	deadline, buf := time.Now().Add(lingerTimeout), make([]byte, 4<<10)
	for left := maxLingerBytes; left > 0; {
		s.setLingerDeadline(c, deadline)
		n, err := c.Read(buf)
		if left -= n; err != nil {
			return
		}
	}
}

// setLingerDeadline sets the deadline of the next read of a lingering connection, unless that must end now.
func (s *Server) setLingerDeadline(c *conn, latest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(lingerIdleTimeout); c.stage == lingering && until.Before(latest) {
		_ = c.SetReadDeadline(until)
	} else if c.stage == lingering {
		_ = c.SetReadDeadline(latest)
	}
}

// execute carries out a call.
func (s *Server) execute(call *http.Request) error {
	verb, id, err := parseRoute(call.Method, call.URL)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch verb {
	case "suspend":
		return s.backend.Suspend(ctx, id)
	case "resume":
		return s.backend.Resume(ctx, id)
	}
	return s.backend.Ready()
}

// parseRoute parses method and path of a call: readyz, or suspend or resume with the id of a db machine.
func parseRoute(method string, u *url.URL) (verb, id string, err error) {
	path := u.EscapedPath()
	want := http.MethodPost
	if path == "/v1/readyz" {
		verb, want = "readyz", http.MethodGet
	} else {
		rest, ok := strings.CutPrefix(path, "/v1/db-machines/")
		id, verb, _ = strings.Cut(rest, "/")
		if !ok || verb != "suspend" && verb != "resume" {
			return "", "", callError{http.StatusNotFound, fmt.Sprintf("there is no %.100q", path), Endpoints, "mend the path"}
		}
		plain, err := url.PathUnescape(id)
		if err != nil || plain == "" || len(plain) > maxIDLen {
			return "", "", callError{http.StatusBadRequest, fmt.Sprintf("the id %.100q is no id of a db machine", id),
				fmt.Sprintf("1 to %d bytes as discovery lists them", maxIDLen), "mend the id"}
		}
		id = plain
	}
	if method != want {
		return "", "", callError{http.StatusMethodNotAllowed, fmt.Sprintf("the method is %.20q", method), want, "call it with " + want}
	}
	return verb, id, nil
}

// readCall reads one complete call. A body is read and ignored.
func readCall(c net.Conn) (*http.Request, error) {
	in := &io.LimitedReader{R: c, N: maxCallSize}
	call, err := http.ReadRequest(bufio.NewReaderSize(in, 1024))
	if err == nil {
		if strings.EqualFold(call.Header.Get("Expect"), "100-continue") {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		_, err = io.Copy(io.Discard, call.Body)
	}
	var late net.Error
	switch {
	case err == nil && call.ProtoMajor == 1:
		return call, nil
	case err == nil:
		err = errors.New("version " + call.Proto)
	case in.N <= 0:
		return nil, callError{http.StatusBadRequest, fmt.Sprintf("the call is longer than %d bytes", maxCallSize), "a shorter one", "leave out headers and body"}
	case errors.As(err, &late) && late.Timeout():
		return nil, callError{http.StatusRequestTimeout, fmt.Sprintf("no whole call in %v", readTimeout), "one call at once", "look at the caller"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &late):
		return nil, err
	}
	return nil, callError{http.StatusBadRequest, fmt.Sprintf("this is no HTTP/1.1 call (%.100s)", err), Endpoints, "mend the caller"}
}

// response returns a complete HTTP response: "yes" for nil, else the error.
func response(err error, head bool) []byte {
	text := "yes\n"
	if err != nil {
		text = err.Error() + "\n"
	}
	code := httpStatus(err)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n", code, http.StatusText(code), len(text))
	var bad callError
	if errors.As(err, &bad) && code == http.StatusMethodNotAllowed {
		fmt.Fprintf(&b, "Allow: %s\r\n", bad.want)
	}
	b.WriteString("\r\n")
	if !head {
		b.WriteString(text)
	}
	return b.Bytes()
}

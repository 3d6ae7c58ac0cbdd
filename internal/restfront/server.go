// Package restfront is the front for REST clients: HTTP/1.1 requests for single
// values and pages of items, through the same core and rules as every other front.
// Each request gets one answer. A request that is refused before it reaches the core
// gets a problem document (RFC 9457) whose type names the reason.
package restfront

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/cursor"
	"reachwind/internal/interruptible"
	"reachwind/internal/logthrottle"
	"reachwind/internal/peerclose"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
	"reachwind/internal/throttle"
)

// Config is the configuration of the front.
type Config struct {
	Listen         string        // address to listen on
	MaxConnections int           // connections at a time
	MaxBodyBytes   int64         // size limit of a value in bytes
	HeaderTimeout  time.Duration // timeout for reading the header of a request
	ReadTimeout    time.Duration // timeout for reading a whole request
	WriteTimeout   time.Duration // timeout for the client to read an answer, in addition to the time that it waits for one
	IdleTimeout    time.Duration // a connection is closed once it has been idle for so long
	Settings       *activesettings.Holder
	CursorKeysFile string           // file with the keys of cursors; empty: a random key of this process
	CursorLifetime time.Duration    // validity of a cursor
	Work           *throttle.Budget // of work that no member has a part in, shared with other fronts; nil: one of a whole core
}

const (
	maxHeaderBytes = 4 << 10         // size limit of a header in bytes; net/http reads as much again
	defaultWait    = 5 * time.Second // deadline of a request that names none
	front          = "rest"          // name of this front in records
)

// Core is the part of the core that the front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
	RecordFrontOutcome(front string, o record.Outcome, why record.Cause)
}

// Server accepts client connections.
type Server struct {
	core       Core
	conf       Config
	log        *slog.Logger
	claims     *call.ActiveIDs
	cursorRing atomic.Pointer[cursor.KeyRing]
	delayedLog logthrottle.Line
	idPrefix   string // of the ids that it assigns to requests without one
	lastID     atomic.Uint64
	http       http.Server
	listener   net.Listener
	serving    sync.WaitGroup

	mu        sync.Mutex
	openConns int        // admitted connections, including those that linger
	refusing  int        // connections that are being refused, not counted in openConns
	lingering []net.Conn // closed for sending, waiting for their clients to close, longest first
	closers   int        // goroutines that close connections
	writing   int        // long answers that are being written
	changed   sync.Cond
}

// New returns a server that passes its requests to c. claims holds the ids of requests in progress of all fronts. It fails
// if the keys of cursors cannot be read.
func New(c Core, conf Config, claims *call.ActiveIDs, log *slog.Logger) (*Server, error) {
	s := &Server{core: c, conf: conf, log: log, claims: claims}
	if s.conf.Work == nil {
		s.conf.Work = throttle.NewBudget(1, conf.MaxConnections)
	}
	s.changed.L = &s.mu
	ring, err := conf.newCursorRing()
	if err != nil {
		return nil, err
	}
	s.cursorRing.Store(ring)
	var b [6]byte
	_, _ = rand.Read(b[:])
	s.idPrefix = "rest-" + hex.EncodeToString(b[:]) + "-"
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/clusters/{cluster}/items/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.Read) })
	mux.HandleFunc("PUT /v1/clusters/{cluster}/items/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.Write) })
	mux.HandleFunc("GET /v1/clusters/{cluster}/items", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.List) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitTurn(r) {
			panic(http.ErrAbortHandler)
		}
		s.chargeLocal(r)
		(&problem{kind: "not-found", status: http.StatusNotFound, detail: "there is no such resource; want /v1/clusters/{n}/items or an item of it"}).write(w)
	})
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: conf.HeaderTimeout, ReadTimeout: conf.ReadTimeout, IdleTimeout: conf.IdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: conf.ReadTimeout + call.MaxWait + conf.WriteTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			if t, ok := nc.(*trackedConn); ok {
				nc = t.Conn
			}
			return context.WithValue(ctx, connectionKey{}, &connection{socket: nc, work: s.conf.Work.NewClient(c.Now())})
		}}
	return s, nil
}

// Prepare checks a new configuration. apply puts its cursor keys into use, from the same file or another; cursors sealed
// with a key that is in both remain valid. The other fields are not applied.
func (s *Server) Prepare(conf Config) (apply func(), err error) {
	if conf.CursorKeysFile == "" && s.conf.CursorKeysFile == "" { // the process keeps its random key
		return func() {}, nil
	}
	ring, err := conf.newCursorRing()
	if err != nil {
		return nil, err
	}
	return func() { s.cursorRing.Store(ring) }, nil
}

// Start listens and serves in the background until Shutdown.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.conf.Listen)
	if err != nil {
		return err
	}
	s.listener = &limitedListener{Listener: l, s: s}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = s.http.Serve(s.listener)
	}()
	s.log.Info("serving REST", "listen", l.Addr().String())
	return nil
}

// Addr returns the address of the listener. It must not be called before Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections, answers the requests that were read until ctx ends, and closes all connections.
// Long answers that are being written then are written to their end, which takes WriteTimeout at most. It
// waits for lingering connections for shutdownLinger at most.
func (s *Server) Shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		s.awaitWrites()
		_ = s.http.Close()
		ctx = context.Background()
	}
	s.serving.Wait()
	ctx, cancel := context.WithTimeout(ctx, shutdownLinger)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})()
	for s.closers > 0 && ctx.Err() == nil {
		s.changed.Wait()
	}
}

// awaitWrites waits until no long answer is being written.
func (s *Server) awaitWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing > 0 {
		s.changed.Wait()
	}
}

// countWrite adds n to the long answers that are being written.
func (s *Server) countWrite(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing += n
	s.changed.Broadcast()
}

// startTracked runs f in the background, and after it then with the lock held; Shutdown waits for both. The lock must be held.
func (s *Server) startTracked(f, then func()) {
	s.closers++
	go func() {
		f()
		s.mu.Lock()
		defer s.mu.Unlock()
		then()
		s.closers--
		s.changed.Broadcast()
	}()
}

const (
	lingerTimeout   = time.Second           // timeout of a lingering connection
	maxLingerBytes  = 1 << 20               // bytes that a lingering connection reads at most
	shutdownLinger  = 50 * time.Millisecond // wait for lingering connections at a shutdown: longer than a request is in transit
	maxQuickAnswer  = 16 << 10              // bytes up to which an answer is taken to fit into the buffers of its socket
	maxRefusing     = 4                     // connections beyond the limit that may be refused and linger at a time
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// limitedListener is a listener that refuses connections beyond the limit at once.
type limitedListener struct {
	net.Listener
	s *Server
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.s.admit() {
			return &trackedConn{Conn: c, s: l.s}, nil
		}
		l.s.core.RecordFrontOutcome(front, record.Refused, record.Buffers)
		l.s.refuse(c)
	}
}

// admit counts a new connection if the limit allows it, and reports whether it does. At the limit it closes the connection
// that has lingered longest, if there is one.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openConns >= s.conf.MaxConnections {
		if len(s.lingering) == 0 {
			return false
		}
		_ = s.lingering[0].Close()
		s.lingering = s.lingering[1:]
		s.openConns--
	}
	s.openConns++
	return true
}

// refuse answers a connection beyond the limit with status 503 and closes it.
func (s *Server) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.WriteString(c, refusalResponse)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing >= maxRefusing { // without a lingering close its client may see a reset
		_ = c.Close()
		return
	}
	s.refusing++
	s.startTracked(func() { interruptible.LingeringClose(c, time.Now().Add(lingerTimeout), maxLingerBytes) }, func() { s.refusing-- })
}

// linger runs the lingering close of an admitted connection in the background.
func (s *Server) linger(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering = append(s.lingering, c)
	s.startTracked(func() {
		timer := time.AfterFunc(lingerTimeout, func() { _ = c.Close() }) // net/http may have cleared the deadline
		interruptible.LingeringClose(c, time.Now().Add(lingerTimeout), maxLingerBytes)
		timer.Stop()
	}, func() {
		if i := slices.Index(s.lingering, c); i >= 0 { // else admit has closed it and uncounted it
			s.lingering = slices.Delete(s.lingering, i, i+1)
			s.openConns--
		}
	})
}

// trackedConn is an admitted connection. Close starts a lingering close and does not wait for it; no request that is read
// later is served.
type trackedConn struct {
	net.Conn
	s      *Server
	closed atomic.Bool
}

// Read implements io.Reader. After Close it discards what it reads.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements io.Closer.
func (c *trackedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
		c.s.linger(c.Conn)
	}
	return nil
}

// client receives the answer to one request.
type client struct{ answers chan core.Answer }

// Answer never blocks: there is one answer, and the channel has capacity for it.
func (c client) Answer(a core.Answer) { c.answers <- a }

// serve carries out one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, op call.Op) {
	receivedAt := s.core.Now()
	if !s.awaitTurn(r) {
		panic(http.ErrAbortHandler)
	}
	q, list, p := s.newRequest(r, op, receivedAt)
	if len(r.TransferEncoding) > 0 { // a proxy in front might disagree about where the body ends
		w.Header().Set("Connection", "close")
	}
	if p != nil {
		s.chargeLocal(r)
		s.core.RecordFrontOutcome(front, p.outcome, p.cause)
		p.write(w)
		return
	}
	receiver := client{make(chan core.Answer, 1)}
	q.Client = receiver
	s.core.Arrive(q)
	if a, ok := awaitAnswer(r, receiver.answers); ok {
		s.chargeAnswered(r, &a)
		s.writeAnswer(w, r, op, list, &a)
		return
	}
	s.core.Gone(q)
	select { // an answer may have arrived meanwhile
	case a := <-receiver.answers:
		if a.Body != nil {
			a.Body.Release()
		}
	default:
	}
	panic(http.ErrAbortHandler) // else a client that closed only its sending side would get an empty answer with status 200
}

// awaitAnswer waits for the answer to a request, and reports whether it arrived before the client closed the connection.
// net/http does not detect the close behind unread bytes of a next request, so the socket is polled.
func awaitAnswer(r *http.Request, answers <-chan core.Answer) (core.Answer, bool) {
	poll := time.NewTicker(peerclose.CheckInterval)
	defer poll.Stop()
	for {
		select {
		case a := <-answers:
			return a, true
		case <-r.Context().Done():
			return core.Answer{}, false
		case <-poll.C:
			if peerclose.Detected(connectionOf(r).socket) {
				return core.Answer{}, false
			}
		}
	}
}

// newRequest makes a core request from an HTTP request that arrived at came, or returns the problem with it.
func (s *Server) newRequest(r *http.Request, op call.Op, receivedAt core.Time) (*core.Request, *listing, *problem) {
	bad := func(kind, format string, args ...any) (*core.Request, *listing, *problem) {
		return nil, nil, &problem{kind: kind, status: http.StatusBadRequest, detail: fmt.Sprintf(format, args...), outcome: record.Failed, cause: record.Invalid}
	}
	if len(r.TransferEncoding) > 0 {
		return nil, nil, &problem{kind: "length-required", status: http.StatusLengthRequired, detail: "the body is chunked, want a Content-Length", outcome: record.Failed, cause: record.Invalid}
	}
	h := r.Header
	cluster, err := strconv.ParseInt(r.PathValue("cluster"), 10, 64)
	if err != nil || cluster < 0 {
		return bad("cluster", "the cluster is %.40q, want a number", r.PathValue("cluster"))
	}
	item := r.PathValue("id")
	if op == call.List {
		item = "list"
	}
	if item == "" || len(item) > 256 || !utf8.ValidString(item) || strings.ContainsRune(item, 0) {
		return bad("id", "the id has %d bytes, want 1 to 256 of UTF-8 without zeros", len(item))
	}
	settings := s.conf.Settings.Current()
	class, ok := settings.Class(h.Get("Reachwind-Class"), receivedAt)
	if !ok {
		return bad("class", "the class is %.40q, want one of the settings in Reachwind-Class", h.Get("Reachwind-Class"))
	}
	if class.Writes() != (op == call.Write) {
		return bad("class", "class %q takes no %s", class.Name, r.Method)
	}
	tenant := settings.TenantIndex(h.Get("Reachwind-Tenant"))
	if name := h.Get("Reachwind-Tenant"); tenant < 0 && name != "" && !pgwire.ValidCommentValue(name) {
		return bad("tenant", "the tenant is %.40q, want a plain name", name)
	}
	wait := defaultWait
	if d := h.Get("Reachwind-Deadline-Ms"); d != "" {
		ms, err := strconv.ParseInt(d, 10, 64)
		if err != nil || ms < 0 || ms > 1<<40 {
			return bad("deadline", "the deadline is %.40q, want milliseconds", d)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	c := &call.Request{Op: op, ID: h.Get("Reachwind-Request-Id"), Class: class.Name, Tenant: h.Get("Reachwind-Tenant"), Cluster: cluster, Item: item,
		Key: h.Get("Idempotency-Key"), Retry: h.Get("Reachwind-Retry") == "1"}
	if c.ID == "" {
		c.ID = s.idPrefix + strconv.FormatUint(s.lastID.Add(1), 10)
	} else if !pgwire.ValidCommentValue(c.ID) {
		return bad("request-id", "the request id is %.40q, want a plain name", c.ID)
	}
	if class.Effect == decide.Keyed && c.Key == "" || c.Key != "" && !pgwire.ValidCommentValue(c.Key) {
		return bad("idempotency-key", "the Idempotency-Key is %.40q, want a plain name", c.Key)
	}
	if op == call.Write {
		if c.Value, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, s.conf.MaxBodyBytes)); err != nil {
			var tooLong *http.MaxBytesError
			if errors.As(err, &tooLong) {
				return nil, nil, &problem{kind: "too-large", status: http.StatusRequestEntityTooLarge, detail: fmt.Sprintf("the value is longer than %d bytes", s.conf.MaxBodyBytes), outcome: record.Failed, cause: record.Invalid}
			}
			return bad("body", "the body did not come whole")
		}
	}
	var list *listing
	atLeast := core.Time(0)
	if op == call.List {
		var p *problem
		if list, p = s.parseListing(r, c, receivedAt); p != nil {
			return nil, nil, p
		}
		atLeast = list.from.Position
	}
	if !s.claims.Claim(c.ID) {
		return nil, nil, &problem{kind: "request-id-in-use", status: http.StatusConflict, detail: "a request with this id is in work", outcome: record.Failed, cause: record.InUse}
	}
	c.Done = func() { s.claims.Release(c.ID) }
	q := &core.Request{Class: class.Class, ClassIndex: class.Index, Tenant: tenant, Group: cluster, Retry: c.Retry, Front: front, Call: c, MinPosition: atLeast, Deadline: receivedAt + min(core.Time(min(wait, call.MaxWait)), class.Deadline)}
	if class.Effect != decide.Repeatable {
		q.Abandoned = func() { s.claims.Retain(c.ID, class.Deadline+class.KeyWindow) }
	}
	if class.HasSession() {
		if q.Session = h.Get("Reachwind-Session"); q.Session == "" {
			q.Session = c.Item // as with PostgreSQL, where the quoted key identifies the session
		}
	}
	return q, list, nil
}

// writeAnswer writes the final answer to a request.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, op call.Op, list *listing, a *core.Answer) {
	h := w.Header()
	switch a.Verdict {
	case core.Refused:
		refusedProblem(a.RetryAfter).write(w)
		return
	case core.Failed:
		failedProblem(a.MayHaveRun).write(w)
		return
	}
	defer a.Body.Release()
	value, err := a.Body.(call.Answer).Value()
	if err != nil {
		failedProblem(true).write(w)
		return
	}
	if a.Position > 0 {
		h.Set("Reachwind-Position", strconv.FormatInt(a.Position.Milliseconds(), 10))
	}
	h.Set("Content-Type", "application/octet-stream")
	if op == call.List {
		if value, err = s.encodePage(h, r, list, value, a.Position); err != nil {
			failedProblem(true).write(w)
			return
		}
		h.Set("Content-Type", "application/json")
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(value), 16) + `"`
	h.Set("ETag", tag)
	if op != call.Write && matchesETag(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(value)))
	if len(value) > maxQuickAnswer {
		s.countWrite(1)
		defer s.countWrite(-1)
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(s.conf.WriteTimeout))
	_, _ = w.Write(value)
	_ = control.Flush()
}

// matchesETag reports whether an If-None-Match field matches a tag, by RFC 9110 section 13.1.2.
func matchesETag(field, tag string) bool {
	for candidate := range strings.SplitSeq(field, ",") {
		if candidate = strings.TrimSpace(candidate); candidate == "*" || strings.TrimPrefix(candidate, "W/") == tag {
			return true
		}
	}
	return false
}

// Package restfront is the clients' side for REST: HTTP/1.1 requests for single
// values, through the same core and rules as every other front. Each request gets
// one answer. What it refuses before the core has it, it refuses by a problem
// document (RFC 9457) with a type of its own.
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
	"reachwind/internal/peerclose"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
)

// Config holds what the front is told.
type Config struct {
	Listen         string
	MaxConnections int           // connections
	MaxBodyBytes   int64         // bytes of a value
	HeaderTimeout  time.Duration // a request's header must have come by then
	ReadTimeout    time.Duration // and all of it by then
	WriteTimeout   time.Duration // an answer must have been taken by then, on top of what the client waits
	IdleTimeout    time.Duration // a connection idle for longer ends
	Settings       *activesettings.Holder
	CursorKeysFile string        // file with the keys of cursors; empty: a key of this process alone
	CursorLifetime time.Duration // of a cursor
}

const (
	headerMost  = 16 << 10
	defaultWait = 5 * time.Second
	front       = "rest" // as records have it
)

// Core is the part of the core that a front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
	RecordFrontOutcome(front string, o record.Outcome, why record.Cause)
}

// Server accepts clients.
type Server struct {
	core   Core
	conf   Config
	log    *slog.Logger
	claims *call.ActiveIDs
	ring   atomic.Pointer[cursor.KeyRing]
	prefix string // of ids that it gives
	last   atomic.Uint64
	http   http.Server
	l      net.Listener
	done   sync.WaitGroup

	mu       sync.Mutex
	open     int        // connections, those that linger among them
	refusing int        // beyond them
	lingered []net.Conn // ended but for what their clients may still send, longest first
	working  int        // goroutines that end connections
	ended    sync.Cond
}

// New returns a server that hands its requests to c. Ids in work are shared with the other fronts by claims.
func New(c Core, conf Config, claims *call.ActiveIDs, log *slog.Logger) (*Server, error) {
	s := &Server{core: c, conf: conf, log: log, claims: claims}
	s.ended.L = &s.mu
	ring, err := conf.ring()
	if err != nil {
		return nil, err
	}
	s.ring.Store(ring)
	var b [6]byte
	_, _ = rand.Read(b[:])
	s.prefix = "rest-" + hex.EncodeToString(b[:]) + "-"
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/clusters/{cluster}/items/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.Read) })
	mux.HandleFunc("PUT /v1/clusters/{cluster}/items/{id}", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.Write) })
	mux.HandleFunc("GET /v1/clusters/{cluster}/items", func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call.List) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		(&problem{kind: "not-found", status: http.StatusNotFound, detail: "there is no such resource; want /v1/clusters/{n}/items or an item of it"}).write(w)
	})
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: conf.HeaderTimeout, ReadTimeout: conf.ReadTimeout, IdleTimeout: conf.IdleTimeout, MaxHeaderBytes: headerMost,
		WriteTimeout: conf.ReadTimeout + call.MaxWait + conf.WriteTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			if t, ok := nc.(*tracked); ok {
				nc = t.Conn
			}
			return context.WithValue(ctx, connection{}, nc)
		}}
	return s, nil
}

// Prepare checks a new configuration. apply takes over its keys, from the same file or another: cursors sealed by
// keys that both hold go on.
func (s *Server) Prepare(conf Config) (apply func(), err error) {
	if conf.CursorKeysFile == "" && s.conf.CursorKeysFile == "" { // the process keeps its own key
		return func() {}, nil
	}
	ring, err := conf.ring()
	if err != nil {
		return nil, err
	}
	return func() { s.ring.Store(ring) }, nil
}

// Start listens and serves until Shutdown.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.conf.Listen)
	if err != nil {
		return err
	}
	s.l = &limited{Listener: l, s: s}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		_ = s.http.Serve(s.l)
	}()
	s.log.Info("serving REST", "listen", l.Addr().String())
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Shutdown takes no more connections, answers what was taken for as long as ctx lasts, and ends. It waits a moment for
// connections that linger.
func (s *Server) Shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	s.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, lastLinger)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended.Broadcast()
	})()
	for s.working > 0 && ctx.Err() == nil {
		s.ended.Wait()
	}
}

// start runs f in the background and then, under the lock, then; Shutdown waits for both. The caller holds the lock.
func (s *Server) start(f, then func()) {
	s.working++
	go func() {
		f()
		s.mu.Lock()
		defer s.mu.Unlock()
		then()
		s.working--
		s.ended.Broadcast()
	}()
}

const (
	lingerWait  = time.Second           // for a client whose connection has ended to close it
	lingerMost  = 1 << 20               // bytes that are read of it meanwhile
	lastLinger  = 50 * time.Millisecond // for all of them at a shutdown: more than a request is under way
	refusedMost = 4                     // connections beyond the limit that are being refused, and linger
	refusal     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// limited ends connections beyond the limit at once, so that those within it are served.
type limited struct {
	net.Listener
	s *Server
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.s.admit() {
			return &tracked{Conn: c, s: l.s}, nil
		}
		l.s.core.RecordFrontOutcome(front, record.Refused, record.Buffers)
		l.s.refuse(c)
	}
}

// admit counts a connection in, if there is room. Those that linger give way, the one that has lingered longest first.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.conf.MaxConnections {
		if len(s.lingered) == 0 {
			return false
		}
		_ = s.lingered[0].Close()
		s.lingered = s.lingered[1:]
		s.open--
	}
	s.open++
	return true
}

// refuse tells a client that there is no room for it.
func (s *Server) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.WriteString(c, refusal)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing >= refusedMost { // its client may see a reset
		_ = c.Close()
		return
	}
	s.refusing++
	s.start(func() { interruptible.LingeringClose(c, time.Now().Add(lingerWait), lingerMost) }, func() { s.refusing-- })
}

// linger closes a connection that was admitted, in the background.
func (s *Server) linger(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingered = append(s.lingered, c)
	s.start(func() {
		late := time.AfterFunc(lingerWait, func() { _ = c.Close() }) // net/http may have unset the deadline
		interruptible.LingeringClose(c, time.Now().Add(lingerWait), lingerMost)
		late.Stop()
	}, func() {
		if i := slices.Index(s.lingered, c); i >= 0 { // else it gave way
			s.lingered = slices.Delete(s.lingered, i, i+1)
			s.open--
		}
	})
}

// tracked is a connection that was admitted. Its close lingers and does not wait; nothing that is read later is served.
type tracked struct {
	net.Conn
	s      *Server
	closed atomic.Bool
}

func (c *tracked) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *tracked) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a read that is on ends
		c.s.linger(c.Conn)
	}
	return nil
}

// client takes the answer to one request.
type client struct{ answers chan core.Answer }

// Answer never blocks: there is one answer, and room for it.
func (c client) Answer(a core.Answer) { c.answers <- a }

// serve carries out one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, op call.Op) {
	came := s.core.Now()
	q, list, p := s.request(r, op, came)
	if len(r.TransferEncoding) > 0 { // whose end another server before us might see elsewhere
		w.Header().Set("Connection", "close")
	}
	if p != nil {
		s.core.RecordFrontOutcome(front, p.outcome, p.cause)
		p.write(w)
		return
	}
	k := client{make(chan core.Answer, 1)}
	q.Client = k
	s.core.Arrive(q)
	if a, ok := await(r, k.answers); ok {
		s.answer(w, r, op, list, &a)
		return
	}
	s.core.Gone(q)
	select { // it may have been answered meanwhile
	case a := <-k.answers:
		if a.Body != nil {
			a.Body.Release()
		}
	default:
	}
	panic(http.ErrAbortHandler) // else a client that ended only its sending would get an empty answer that says 200
}

// await waits for the answer to a request, and tells whether it came before the client left. Behind bytes of a next
// request net/http does not see that, so the socket is asked from time to time.
func await(r *http.Request, answers <-chan core.Answer) (core.Answer, bool) {
	look := time.NewTicker(peerclose.CheckInterval)
	defer look.Stop()
	for {
		select {
		case a := <-answers:
			return a, true
		case <-r.Context().Done():
			return core.Answer{}, false
		case <-look.C:
			if peerclose.Detected(r.Context().Value(connection{})) {
				return core.Answer{}, false
			}
		}
	}
}

// connection is under what a request's context holds the connection that it came on.
type connection struct{}

// request makes a request of what came, or the problem with it.
func (s *Server) request(r *http.Request, op call.Op, came core.Time) (*core.Request, *listing, *problem) {
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
	t := s.conf.Settings.Current()
	k, ok := t.Class(h.Get("Reachwind-Class"), came)
	if !ok {
		return bad("class", "the class is %.40q, want one of the settings in Reachwind-Class", h.Get("Reachwind-Class"))
	}
	if k.Writes() != (op == call.Write) {
		return bad("class", "class %q takes no %s", k.Name, r.Method)
	}
	tenant := t.TenantIndex(h.Get("Reachwind-Tenant"))
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
	c := &call.Request{Op: op, ID: h.Get("Reachwind-Request-Id"), Class: k.Name, Tenant: h.Get("Reachwind-Tenant"), Cluster: cluster, Item: item,
		Key: h.Get("Idempotency-Key"), Retry: h.Get("Reachwind-Retry") == "1"}
	if c.ID == "" {
		c.ID = s.prefix + strconv.FormatUint(s.last.Add(1), 10)
	} else if !pgwire.ValidCommentValue(c.ID) {
		return bad("request-id", "the request id is %.40q, want a plain name", c.ID)
	}
	if k.Effect == decide.Keyed && c.Key == "" || c.Key != "" && !pgwire.ValidCommentValue(c.Key) {
		return bad("idempotency-key", "the Idempotency-Key is %.40q, want a plain name", c.Key)
	}
	if op == call.Write {
		if c.Value, err = io.ReadAll(http.MaxBytesReader(nil, r.Body, s.conf.MaxBodyBytes)); err != nil {
			var long *http.MaxBytesError
			if errors.As(err, &long) {
				return nil, nil, &problem{kind: "too-large", status: http.StatusRequestEntityTooLarge, detail: fmt.Sprintf("the value is longer than %d bytes", s.conf.MaxBodyBytes), outcome: record.Failed, cause: record.Invalid}
			}
			return bad("body", "the body did not come whole")
		}
	}
	var list *listing
	atLeast := core.Time(0)
	if op == call.List {
		var p *problem
		if list, p = s.listing(r, c, came); p != nil {
			return nil, nil, p
		}
		atLeast = list.from.Position
	}
	if !s.claims.Claim(c.ID) {
		return nil, nil, &problem{kind: "request-id-in-use", status: http.StatusConflict, detail: "a request with this id is in work", outcome: record.Failed, cause: record.InUse}
	}
	c.Done = func() { s.claims.Release(c.ID) }
	q := &core.Request{Class: k.Class, ClassIndex: k.Index, Tenant: tenant, Group: cluster, Retry: c.Retry, Front: front, Call: c, MinPosition: atLeast, Deadline: came + min(core.Time(min(wait, call.MaxWait)), k.Deadline)}
	if k.HasSession() {
		if q.Session = h.Get("Reachwind-Session"); q.Session == "" {
			q.Session = c.Item // as in PostgreSQL, where the quoted key names it
		}
	}
	return q, list, nil
}

// answer writes a final answer.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, op call.Op, list *listing, a *core.Answer) {
	h := w.Header()
	switch a.Verdict {
	case core.Refused:
		refused(a.RetryAfter).write(w)
		return
	case core.Failed:
		failed(a.MayHaveRun).write(w)
		return
	}
	defer a.Body.Release()
	value, err := a.Body.(call.Answer).Value()
	if err != nil {
		failed(true).write(w)
		return
	}
	if a.Position > 0 {
		h.Set("Reachwind-Position", strconv.FormatInt(a.Position.Milliseconds(), 10))
	}
	h.Set("Content-Type", "application/octet-stream")
	if op == call.List {
		if value, err = s.page(h, r, list, value, a.Position); err != nil {
			failed(true).write(w)
			return
		}
		h.Set("Content-Type", "application/json")
	}
	tag := `"` + strconv.FormatUint(xxhash.Sum64(value), 16) + `"`
	h.Set("ETag", tag)
	if op != call.Write && matches(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(value)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.conf.WriteTimeout))
	_, _ = w.Write(value)
}

// matches tells whether an If-None-Match names a tag, RFC 9110 section 13.1.2.
func matches(field, tag string) bool {
	for one := range strings.SplitSeq(field, ",") {
		if one = strings.TrimSpace(one); one == "*" || strings.TrimPrefix(one, "W/") == tag {
			return true
		}
	}
	return false
}

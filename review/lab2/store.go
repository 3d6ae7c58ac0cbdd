// Command lab2 holds the stand-ins of the second review: a small replicated store with its discovery, clients for
// PostgreSQL's protocol and for REST, and the checks of the cases. It uses nothing of the gateway's own packages.
package main

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func nowMs() int64 { return time.Now().UnixMilli() }

// recorder writes record.txt: one line an event, with the milliseconds since the start.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &recorder{f: f, start: time.Now()}
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// commit is one committed write.
type commit struct {
	pos   int64 // Unix time in ms
	key   string
	value []byte
}

// store is one group: a primary and replicas, and the discovery that lists them.
type store struct {
	rec         *recorder
	stamped     bool          // answers to reads carry lsn_ms; else positions stand only in the report that answers carry
	work        time.Duration // of a statement
	keyDrop     time.Duration // repeats of a key are dropped for so long; 0: there are no keys
	mu          sync.Mutex
	log         []commit
	last        int64
	keys        map[string]keyed
	members     []*machine
	version     int64
	changes     []listChange
	changed     chan struct{}
	discAddr    string
	discConns   func() // ends the connections of the present discovery
	refuse      int    // calls of the present discovery that fail
	moved       bool
	piece       int
	piecePause  time.Duration
	silentUntil time.Time
	pauseAfter  int
	pauseFor    time.Duration
	onTell      func(version int64, at time.Time) // called right after discovery has written a list with this version
}

type keyed struct {
	at    time.Time
	value []byte
	pos   int64
}

type listChange struct {
	version int64
	entry   map[string]any
}

// machine is one db machine.
type machine struct {
	s         *store
	id        string
	addr      string
	primary   bool
	state     string
	shipMs    int64 // a replica gets and applies the log after so long
	slowSince time.Time
	slowBase  int64
	slope     float64 // progress of the applied position while slow, as a fraction of real time
	high      int64
	turnAway  bool // draining or about to end: statements get 53300
	report    string
	onQuery   func(id, text string, first time.Time)
}

func newStore(rec *recorder, stamped bool, work time.Duration) *store {
	s := &store{rec: rec, stamped: stamped, work: work, keys: map[string]keyed{}, version: 1, changed: make(chan struct{})}
	return s
}

// add starts a machine.
func (s *store) add(id string, primary bool) *machine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	m := &machine{s: s, id: id, addr: l.Addr().String(), primary: primary, state: "ready", shipMs: 12}
	s.mu.Lock()
	s.members = append(s.members, m)
	s.mu.Unlock()
	m.refresh()
	go func() { // the report is renewed every 150 ms
		for range time.Tick(150 * time.Millisecond) {
			m.refresh()
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// applied returns the position up to which the machine holds every commit. The lock must be held.
func (m *machine) applied() int64 {
	now := nowMs()
	p := now
	if !m.primary {
		p = now - m.shipMs
		if !m.slowSince.IsZero() {
			p = min(p, m.slowBase+int64(m.slope*float64(time.Since(m.slowSince).Milliseconds())))
		}
	}
	m.high = max(m.high, p)
	return m.high
}

// slow makes a replica apply the log so that its position advances by slope ms in a ms; 0 ends that.
func (m *machine) slow(slope float64) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	if slope == 0 {
		m.slowSince = time.Time{}
		return
	}
	m.slowBase = m.applied()
	m.slope, m.slowSince = slope, time.Now()
}

func (m *machine) refresh() {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	role := 0
	if m.primary {
		role = 1
	}
	m.report = fmt.Sprintf("x0=%.3f,x1=%d", float64(m.applied())/1000, role)
}

// read returns the value of a key as the machine holds it, and its position.
func (m *machine) read(key string) (value []byte, pos int64) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	pos = m.applied()
	for _, c := range m.s.log {
		if c.key == key && c.pos <= pos {
			value = c.value
		}
	}
	return value, pos
}

// page returns a page of items as JSON.
func (m *machine) page(prefix, after string, limit int) (text []byte, pos int64) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	pos = m.applied()
	rows := map[string][]byte{}
	for _, c := range m.s.log {
		if c.pos <= pos && strings.HasPrefix(c.key, prefix) && c.key > after {
			rows[c.key] = c.value
		}
	}
	ids := []string{}
	for id := range rows {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	type item struct {
		ID    string `json:"id"`
		Value []byte `json:"value"`
	}
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
	}{Items: []item{}}
	for _, id := range ids {
		if len(out.Items) == limit {
			out.More = true
			break
		}
		out.Items = append(out.Items, item{id, rows[id]})
	}
	text, _ = json.Marshal(out)
	return text, pos
}

// write commits a write at the primary. A repeat of its key gets the first one's answer.
func (s *store) write(key string, value []byte, idem string) ([]byte, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.keys[idem]; ok && idem != "" && s.keyDrop > 0 && time.Since(k.at) < s.keyDrop {
		return k.value, k.pos, true
	}
	s.last = max(s.last+1, nowMs()+1)
	s.log = append(s.log, commit{s.last, key, value})
	if idem != "" {
		s.keys[idem] = keyed{time.Now(), value, s.last}
	}
	return value, s.last, false
}

func msg(typ byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{typ}, uint32(4+len(body)))
	return append(b, body...)
}

func pgError(code, text string) []byte {
	return msg('E', "SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

// row is RowDescription with one column in binary form, the row, and CommandComplete.
func row(v []byte, tag string) []byte {
	d := "\x00\x01doc\x00" + "\x00\x00\x00\x00" + "\x00\x00" + "\x00\x00\x00\x11" + "\xff\xff" + "\xff\xff\xff\xff" + "\x00\x01"
	b := msg('T', d)
	b = append(b, msg('D', "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(v))))+string(v))...)
	return append(b, msg('C', tag+"\x00")...)
}

func status(name, value string) []byte { return msg('S', name+"\x00"+value+"\x00") }

// field returns a field of a statement's comment.
func field(text, name string) string {
	head, _, _ := strings.Cut(text, "*/")
	head = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(head), "/*"))
	for _, f := range strings.Split(head, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(f), "="); n == name {
			return v
		}
	}
	return ""
}

// quoted returns the quoted strings of a statement.
func quoted(text string) (all []string) {
	_, rest, _ := strings.Cut(text, "*/")
	for {
		i := strings.IndexByte(rest, '\'')
		if i < 0 {
			return all
		}
		var b strings.Builder
		i++
		for i < len(rest) {
			if rest[i] == '\'' {
				if i+1 < len(rest) && rest[i+1] == '\'' {
					i++
				} else {
					break
				}
			}
			b.WriteByte(rest[i])
			i++
		}
		all = append(all, b.String())
		if i >= len(rest) {
			return all
		}
		rest = rest[i+1:]
	}
}

// serve serves one connection.
func (m *machine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head[:]))-4); err != nil {
		return
	}
	out := msg('R', "\x00\x00\x00\x00")
	out = append(out, m.roleStatus()...)
	out = append(out, msg('Z', "I")...)
	if _, err := c.Write(out); err != nil {
		return
	}
	for {
		typ, err := r.ReadByte()
		if err != nil {
			return
		}
		first := time.Now()
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:])-4)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if typ != 'Q' {
			return
		}
		text := strings.TrimRight(string(body), "\x00")
		if err := m.send(c, append(m.answer(text, first), msg('Z', "I")...)); err != nil {
			return
		}
	}
}

func (m *machine) roleStatus() []byte {
	if m.primary {
		return status("recovery", "off")
	}
	return status("recovery", "on")
}

// answer carries out a statement.
func (m *machine) answer(text string, first time.Time) []byte {
	s := m.s
	verb := strings.ToUpper(strings.TrimSpace(text))
	switch {
	case verb == "" || verb == ";":
		return msg('I', "")
	case strings.HasPrefix(verb, "SHOW HEALTH"):
		s.mu.Lock()
		rep := m.report
		s.mu.Unlock()
		return append(m.roleStatus(), row([]byte(rep), "SHOW")...)
	case strings.HasPrefix(verb, "SET"), strings.HasPrefix(verb, "RESET"), strings.HasPrefix(verb, "DISCARD"):
		return msg('C', "SET\x00")
	}
	id, keys := field(text, "id"), quoted(text)
	short := text
	if len(short) > 220 {
		short = short[:220] + "..."
	}
	s.rec.logf("%s got: %s", m.id, short)
	if m.onQuery != nil {
		m.onQuery(id, text, first)
	}
	if m.turnAway {
		s.rec.logf("%s turned away id=%s", m.id, id)
		return pgError("53300", "draining")
	}
	isWrite := strings.Contains(text, "*/ INSERT ")
	if isWrite && !m.primary {
		return append(m.roleStatus(), pgError("25006", "no primary")...)
	}
	if id == "" || len(keys) == 0 {
		return pgError("08P01", "no such statement")
	}
	var value []byte
	var pos int64
	tag := "SELECT 1"
	switch {
	case isWrite:
		time.Sleep(s.work)
		v := []byte(keys[1])
		if h, err := hex.DecodeString(strings.TrimPrefix(keys[1], `\x`)); err == nil && strings.HasPrefix(keys[1], `\x`) {
			v = h
		}
		var repeat bool
		value, pos, repeat = s.write(keys[0], v, field(text, "k"))
		tag = "INSERT 0 1"
		s.rec.logf("%s ran write id=%s key=%s value=%.60q position=%d repeat=%v", m.id, id, keys[0], value, pos, repeat)
	case strings.Contains(text, " FROM pages "):
		f := strings.Split(keys[0], ":")
		limit, _ := strconv.Atoi(f[1])
		after, _ := hex.DecodeString(f[2])
		prefix, _ := hex.DecodeString(f[3])
		value, pos = m.page(string(prefix), string(after), limit)
		time.Sleep(s.work)
		s.rec.logf("%s ran page id=%s at position %d (%d ms old): %s", m.id, id, pos, nowMs()-pos, value)
	default:
		value, pos = m.read(keys[0])
		time.Sleep(s.work)
		s.rec.logf("%s ran read id=%s key=%s value=%.60q at position %d (%d ms old)", m.id, id, keys[0], value, pos, nowMs()-pos)
	}
	out := m.roleStatus()
	if s.stamped || isWrite {
		out = append(out, status("lsn_ms", strconv.FormatInt(pos, 10))...)
	}
	if !s.stamped {
		s.mu.Lock()
		out = append(out, status("health", m.report)...)
		s.mu.Unlock()
	}
	return append(out, row(value, tag)...)
}

// entry is the machine in discovery's form. The lock must be held.
func (m *machine) entry() map[string]any {
	e := map[string]any{"instanceId": m.id, "hostPort": m.addr, "zone": "a", "machineType": "m", "cell": 0, "lifecycle": m.state, "weight": 1.0, "startedAtMs": 0}
	if !m.s.stamped { // the list shows roles as at the start
		e["recovery"] = "on"
		if m.primary {
			e["recovery"] = "off"
		}
	}
	return e
}

// setState changes what discovery lists of a machine.
func (m *machine) setState(state string) int64 {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m.state = state
	s.version++
	s.changes = append(s.changes, listChange{s.version, m.entry()})
	close(s.changed)
	s.changed = make(chan struct{})
	s.rec.logf("discovery: version %d, %s is %s", s.version, m.id, state)
	return s.version
}

// list returns the whole list, in discovery's form.
func (s *store) list() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []any{}
	for _, m := range s.members {
		if m.state != "gone" {
			all = append(all, m.entry())
		}
	}
	return map[string]any{"generation": s.version, "reset": true, "instances": all}
}

// discovery serves the list: whole, or by watches.
func (s *store) discovery() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	s.discAddr = l.Addr().String()
	mux := http.NewServeMux()
	server := &http.Server{Handler: mux}
	s.discConns = func() { _ = server.Close() }
	mux.HandleFunc("/v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		s.rec.logf("discovery is called: %s", r.URL)
		began := s.silent()
		if s.crowded(r.Host) {
			time.Sleep(2 * time.Second)
			s.rec.logf("TROUBLE: discovery fails the call, which has queued for 2 s: 503")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		q := r.URL.Query()
		var out map[string]any
		if !q.Has("index") {
			out = s.list()
		} else {
			index, _ := strconv.ParseInt(q.Get("index"), 10, 64)
			wait, _ := strconv.Atoi(q.Get("wait"))
			until := time.After(time.Duration(wait) * time.Millisecond)
			for out == nil {
				s.mu.Lock()
				v, ch := s.version, s.changed
				all := []any{}
				for _, c := range s.changes {
					if c.version > index {
						all = append(all, c.entry)
					}
				}
				s.mu.Unlock()
				if v > index {
					out = map[string]any{"generation": v, "reset": false, "instances": all}
					break
				}
				select {
				case <-ch:
				case <-until:
					out = map[string]any{"generation": v, "reset": false, "instances": []any{}}
				case <-r.Context().Done():
					return
				}
			}
		}
		if began || s.silent() { // no byte, and no end
			s.rec.logf("discovery is silent on this call: %s", r.URL)
			<-r.Context().Done()
			return
		}
		text, _ := json.Marshal(out)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if s.onTell != nil {
			s.onTell(out["generation"].(int64), time.Now())
		}
	})
	go func() { _ = server.Serve(l) }()
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "lab2: "+format+"\n", args...)
	os.Exit(2)
}

// crowd makes the discovery that the list moves to next fail so many calls.
func (s *store) crowd(calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = calls
}

// crowded reports whether a call of the discovery at host fails.
func (s *store) crowded(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host != s.discAddr || s.refuse == 0 || !s.moved {
		return false
	}
	s.refuse--
	return true
}

// moveDiscovery starts discovery at a new address. The function that it returns ends the old one.
func (s *site) moveDiscovery() (endOld func()) {
	endOld = s.discConns
	s.mu.Lock()
	s.moved = true
	s.mu.Unlock()
	s.discovery()
	return endOld
}

// hup writes the configuration with discovery's present address, and sends SIGHUP to the gateway.
func (s *site) hup() {
	s.writeFiles()
	text, err := os.ReadFile(filepath.Join(s.dir, "gwpid"))
	pid, err2 := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || err2 != nil || syscall.Kill(pid, syscall.SIGHUP) != nil {
		fatal("the gateway can't be sent SIGHUP")
	}
}

// pauseNext makes the machine that answers next stop for so long after so many bytes of its answer.
func (s *store) pauseNext(after int, long time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseAfter, s.pauseFor = after, long
}

// send writes an answer, with the pause that is due.
func (m *machine) send(c net.Conn, out []byte) error {
	m.s.mu.Lock()
	piece, wait := m.s.piece, m.s.piecePause
	if piece > 0 && len(out) > piece {
		m.s.mu.Unlock()
		for len(out) > 0 {
			n := min(piece, len(out))
			if _, err := c.Write(out[:n]); err != nil {
				return err
			}
			out = out[n:]
			time.Sleep(wait)
		}
		return nil
	}
	after, long := m.s.pauseAfter, m.s.pauseFor
	if len(out) <= after || after == 0 {
		m.s.mu.Unlock()
		_, err := c.Write(out)
		return err
	}
	m.s.pauseAfter = 0
	m.s.mu.Unlock()
	if _, err := c.Write(out[:after]); err != nil {
		return err
	}
	m.s.rec.logf("TROUBLE: %s hangs for %v after %d of %d bytes", m.id, long, after, len(out))
	time.Sleep(long)
	_, err := c.Write(out[after:])
	if err == nil {
		time.Sleep(50 * time.Millisecond)
		_, err = c.Write(nil)
	}
	m.s.rec.logf("%s goes on, and sends the other %d bytes: %v", m.id, len(out)-after, err)
	return err
}

// silence keeps discovery from answering any call that is open or comes within the time.
func (s *store) silence(long time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(long)
}

// silent reports whether a call gets no answer.
func (s *store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

// slowSend makes machines send long answers in pieces, with pauses.
func (s *store) slowSend(piece int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.piece, s.piecePause = piece, pause
}

// signal sends the gateway a signal.
func (s *site) signal(sig syscall.Signal) {
	if sig == syscall.SIGTERM {
		_ = os.WriteFile(filepath.Join(s.dir, "termed"), nil, 0o600)
	}
	text, err := os.ReadFile(filepath.Join(s.dir, "gwpid"))
	pid, err2 := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || err2 != nil || syscall.Kill(pid, sig) != nil {
		fatal("the gateway can't be sent a signal")
	}
}

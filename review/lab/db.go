package main

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// group is the commit log of one cluster. Positions are Unix times in milliseconds.
type group struct {
	mu   sync.Mutex
	rows map[string][]commit
	keys map[string]keyUse // idempotency keys in use, by key
	runs map[string]int    // how often the write of each request id or key took effect
}

type commit struct {
	at    int64
	value []byte
}

type keyUse struct {
	at    time.Time
	value []byte
	lsn   int64
}

func newGroup() *group {
	return &group{rows: map[string][]commit{}, keys: map[string]keyUse{}, runs: map[string]int{}}
}

// stmt is a parsed statement of a gateway.
type stmt struct {
	id, class, key string
	cluster        string
	waitMs         int
	item           string
	value          []byte
	write          bool
	text           string
}

// dbMachine is a stand-in of one db machine, as PROTOCOL.md describes it.
type dbMachine struct {
	id, zone, addr string
	cell           int
	g              *group
	work           time.Duration // time that a statement takes
	lsnOnReads     bool          // answers to reads carry lsn_ms
	inlineReport   bool          // answers carry the ParameterStatus health
	keyWindow      time.Duration // how long a repeat of a key is dropped
	big            map[string][]byte
	onStatement    func(m *dbMachine, s *stmt) // called when a statement has arrived whole; may be nil
	oneWay         time.Duration               // that the network takes in each direction
	copyShare      float64                     // share of the answers that have a second copy right behind,
	copyAfter      time.Duration               // so long after the answer, when nothing else waits on the connection
	copies         int
	turnAway       float64                     // share of the statements that are turned away, the queue being full
	cores          chan struct{}               // limits the requests that are worked on at a time; nil: no limit
	queueMax       int                         // requests that may wait for a core; further ones are turned away
	workOf         func(s *stmt) time.Duration // time of a statement on this machine as it is now; nil: work

	mu        sync.Mutex
	primary   bool
	hang      bool // takes requests and answers none
	draining  bool // refuses what it gets, as a draining machine may
	applied   float64
	applyRate float64 // commits applied for each unit of time while behind
	slow      bool    // applies at slowRate
	slowRate  float64
	conns     map[net.Conn]bool
	l         net.Listener
	report    string // refreshed from time to time
	served    int
	waiting   int
}

const shipMs = 12.0 // a replica gets the log this much later

func (m *dbMachine) start() error {
	m.applied = nowMs() - shipMs
	if m.applyRate == 0 {
		m.applyRate = 2
	}
	m.refreshReport()
	go m.apply()
	return m.listen("127.0.0.1:0")
}

// listen has the machine's process serve at an address.
func (m *dbMachine) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.l, m.addr, m.conns = l, l.Addr().String(), map[net.Conn]bool{}
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if m.oneWay > 0 {
				c = delayed(c, m.oneWay)
			}
			m.mu.Lock()
			m.conns[c] = true
			m.mu.Unlock()
			go m.serve(c)
		}
	}()
	return nil
}

func (m *dbMachine) stop() {
	_ = m.l.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		_ = c.Close()
	}
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// apply advances the position of a replica; it never goes back.
func (m *dbMachine) apply() {
	last, lastReport := nowMs(), time.Now()
	for range time.Tick(5 * time.Millisecond) {
		now := nowMs()
		m.mu.Lock()
		rate := m.applyRate
		if m.slow {
			rate = m.slowRate
		}
		m.applied = max(m.applied, min(now-shipMs, m.applied+(now-last)*rate))
		m.mu.Unlock()
		last = now
		if time.Since(lastReport) >= 120*time.Millisecond {
			lastReport = time.Now()
			m.refreshReport()
		}
	}
}

// position is the time up to which the machine has applied all commits. The caller holds m.mu.
func (m *dbMachine) position() int64 {
	if m.primary {
		m.applied = max(m.applied, nowMs())
	}
	return int64(m.applied)
}

func (m *dbMachine) refreshReport() {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := 0
	if m.primary {
		one = 1
	}
	m.report = fmt.Sprintf("x0=%.3f,x1=%d", float64(m.position())/1000, one)
}

func (m *dbMachine) setPrimary(yes bool) {
	m.mu.Lock()
	m.primary = yes
	m.mu.Unlock()
	m.refreshReport()
}

func message(b []byte, typ byte, parts ...string) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, typ), uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

func errorMessage(code, text string) []byte {
	return message(nil, 'E', "SERROR\x00C"+code+"\x00M"+text+"\x00\x00")
}

func (m *dbMachine) serve(c net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head[:4]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head))-4); err != nil {
		return
	}
	ready := message(nil, 'Z', "I")
	if _, err := c.Write(append(message(nil, 'R', "\x00\x00\x00\x00"), ready...)); err != nil {
		return
	}
	for {
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if head[0] != 'Q' {
			return
		}
		gone := make(chan struct{})
		done := make(chan struct{})
		go func() { // work stops when the gateway closes the connection
			defer close(done)
			if _, err := r.Peek(1); err != nil {
				close(gone)
			}
		}()
		text := strings.TrimRight(string(body), "\x00")
		out := m.answer(text, gone)
		if out == nil {
			<-gone
			return
		}
		out = append(out, ready...)
		if _, err := c.Write(out); err != nil {
			return
		}
		if m.copyShare > 0 && rand.Float64() < m.copyShare {
			select {
			case <-done: // something waits on the connection
			case <-time.After(m.copyAfter):
				rec("%s sends a second copy of its answer to: %s", m.id, text)
				m.mu.Lock()
				m.copies++
				m.mu.Unlock()
				if _, err := c.Write(out); err != nil {
					return
				}
			}
		}
		<-done // the next statement, or the end
		select {
		case <-gone:
			return
		default:
		}
	}
}

func (m *dbMachine) status(b []byte, lsn int64, withLsn bool) []byte {
	role := "on"
	if m.primary {
		role = "off"
	}
	b = message(b, 'S', "recovery\x00", role, "\x00")
	if withLsn {
		b = message(b, 'S', "lsn_ms\x00", strconv.FormatInt(lsn, 10), "\x00")
	}
	if m.inlineReport {
		b = message(b, 'S', "health\x00", m.report, "\x00")
	}
	return b
}

func row(value []byte, tag string) []byte {
	// one column "doc", bytea, binary format
	column := "\x00\x01doc\x00" + "\x00\x00\x00\x00" + "\x00\x00" + "\x00\x00\x00\x11" + "\xff\xff" + "\xff\xff\xff\xff" + "\x00\x01"
	b := message(nil, 'T', column)
	b = message(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), string(value))
	return message(b, 'C', tag+"\x00")
}

func (m *dbMachine) answer(text string, gone <-chan struct{}) []byte {
	switch {
	case strings.TrimSpace(text) == "":
		return message(nil, 'I')
	case text == "SHOW health":
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.hang {
			return nil
		}
		return m.status(row([]byte(m.report), "SHOW"), 0, false)
	case text == "SELECT 1":
		return row([]byte("1"), "SELECT 1")
	}
	s, err := parse(text)
	if err != nil {
		rec("VOID %s got a statement that no client sent: %q", m.id, text)
		return errorMessage("08P01", err.Error())
	}
	if m.onStatement != nil {
		m.onStatement(m, s)
	}
	m.mu.Lock()
	hang, draining := m.hang, m.draining
	m.mu.Unlock()
	if hang {
		return nil
	}
	if draining {
		return errorMessage("53300", "draining")
	}
	if m.turnAway > 0 && rand.Float64() < m.turnAway {
		return errorMessage("53300", "queue full")
	}
	if m.cores != nil {
		m.mu.Lock()
		m.waiting++
		full := m.waiting > m.queueMax
		m.mu.Unlock()
		leave := func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.waiting--
		}
		if full {
			leave()
			return errorMessage("53300", "queue full")
		}
		select {
		case <-gone:
			leave()
			return nil
		case m.cores <- struct{}{}:
			leave()
		}
		defer func() { <-m.cores }()
	}
	work := m.work
	if m.workOf != nil {
		work = m.workOf(s)
	}
	select {
	case <-gone:
		return nil
	case <-time.After(work):
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if m.hang {
		return nil
	}
	m.served++
	if !s.write {
		value := m.big[s.item]
		at := m.position()
		for _, c := range m.g.rows[s.item] {
			if c.at <= at {
				value = c.value
			}
		}
		return m.status(row(value, "SELECT 1"), at, m.lsnOnReads)
	}
	if !m.primary {
		return append(errorMessage("25006", "this is no primary"), m.status(nil, m.position(), m.lsnOnReads)...)
	}
	if use, ok := m.g.keys[s.key]; ok && s.key != "" && time.Since(use.at) < m.keyWindow {
		return m.status(row(use.value, "INSERT 0 1"), use.lsn, true) // a repeat has no effect
	}
	lsn := int64(nowMs()) + 1
	m.g.rows[s.item] = append(m.g.rows[s.item], commit{lsn, s.value})
	m.g.runs[s.id]++
	if s.key != "" {
		m.g.keys[s.key] = keyUse{time.Now(), s.value, lsn}
		m.g.runs["key "+s.key]++
	}
	return m.status(row(s.value, "INSERT 0 1"), lsn, true)
}

func parse(text string) (*stmt, error) {
	from, to := strings.Index(text, "/*"), strings.Index(text, "*/")
	if from != 0 || to < 0 {
		return nil, fmt.Errorf("no comment")
	}
	s := &stmt{text: text}
	for _, f := range strings.Split(text[2:to], ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "k":
			s.key = value
		case "cluster":
			s.cluster = value
		case "d":
			s.waitMs, _ = strconv.Atoi(value)
		}
	}
	rest := strings.TrimSpace(text[to+2:])
	s.write = strings.HasPrefix(rest, "INSERT INTO items (id, doc) VALUES (")
	if !s.write && !strings.HasPrefix(rest, "SELECT doc FROM items WHERE id = ") {
		return nil, fmt.Errorf("unknown form")
	}
	parts := strings.Split(rest, "'")
	if len(parts) < 3 {
		return nil, fmt.Errorf("no key")
	}
	s.item = parts[1]
	if s.write {
		if len(parts) < 5 {
			return nil, fmt.Errorf("no value")
		}
		s.value = []byte(parts[3])
		if h, ok := strings.CutPrefix(parts[3], `\x`); ok {
			raw, err := hex.DecodeString(h)
			if err != nil {
				return nil, err
			}
			s.value = raw
		}
	}
	return s, nil
}

// delayedConn is a connection through a network that takes a time in each direction.
type delayedConn struct {
	net.Conn
	in     *io.PipeReader
	out    chan parcel
	closed sync.Once
}

type parcel struct {
	at   time.Time
	data []byte
}

// delayed returns c as seen from the far end of a network that delivers each byte after the time that it takes.
func delayed(c net.Conn, oneWay time.Duration) net.Conn {
	r, w := io.Pipe()
	d := &delayedConn{Conn: c, in: r, out: make(chan parcel, 4096)}
	inbound := make(chan parcel, 4096)
	go func() {
		for {
			buf := make([]byte, 32<<10)
			n, err := c.Read(buf)
			if n > 0 {
				inbound <- parcel{time.Now().Add(oneWay), buf[:n]}
			}
			if err != nil {
				close(inbound)
				return
			}
		}
	}()
	go func() {
		for p := range inbound {
			time.Sleep(time.Until(p.at))
			_, _ = w.Write(p.data)
		}
		time.Sleep(oneWay)
		_ = w.Close()
	}()
	go func() {
		for p := range d.out {
			time.Sleep(time.Until(p.at.Add(oneWay)))
			if p.data == nil {
				_ = c.Close()
				return
			}
			_, _ = c.Write(p.data)
		}
	}()
	return d
}

func (d *delayedConn) Read(b []byte) (int, error) { return d.in.Read(b) }

func (d *delayedConn) Write(b []byte) (int, error) {
	d.out <- parcel{time.Now(), append([]byte(nil), b...)}
	return len(b), nil
}

func (d *delayedConn) Close() error {
	d.closed.Do(func() {
		d.out <- parcel{at: time.Now()}
		_ = d.in.Close()
	})
	return nil
}

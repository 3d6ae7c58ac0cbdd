package cluster

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"reachwind/internal/call"
	"reachwind/internal/pgwire"
)

// listenLocked has a member serve. The caller holds the lock.
func (m *Member) listenLocked() error {
	l, err := m.c.listen(m.Addr)
	if err != nil {
		return err
	}
	m.l, m.Addr, m.up = l, l.Addr().String(), true
	m.c.done.Add(1)
	go func() {
		defer m.c.done.Done()
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			m.c.mu.Lock()
			if m.l != l || !m.up {
				m.c.mu.Unlock()
				_ = nc.Close()
				return
			}
			m.conns[nc] = true
			m.c.done.Add(1)
			m.c.mu.Unlock()
			go m.serve(nc)
		}
	}()
	return nil
}

// serve speaks to one connection.
func (m *Member) serve(nc net.Conn) {
	defer m.c.done.Done()
	defer func() {
		m.c.mu.Lock()
		delete(m.conns, nc)
		m.c.mu.Unlock()
		_ = nc.Close()
	}()
	r := bufio.NewReaderSize(nc, 8<<10)
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head[:4]); err != nil {
		return
	}
	n, err := pgwire.StartupLen(head)
	if err != nil {
		return
	}
	if _, err := r.Discard(n); err != nil {
		return
	}
	out := pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00"))
	pool := pgwire.NewPool(1, 0)
	buf := pool.Get(pgwire.LargeBufSize, 0)
	for {
		written := m.startWrite(nc, out)
		if !readQuery(r, buf) || <-written != nil {
			return
		}
		out = m.answer(out[:0], buf)
		if out == nil { // it hangs
			_, _ = io.Copy(io.Discard, r)
			return
		}
	}
}

// readQuery reads the text of a Query message into buf and reports whether there was one.
func readQuery(r *bufio.Reader, buf *pgwire.Buf) bool {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return false
	}
	typ, n, err := pgwire.Header(head)
	if err != nil || typ != 'Q' || n < 1 {
		return false
	}
	buf.B = buf.B[:n]
	if _, err := io.ReadFull(r, buf.B); err != nil {
		return false
	}
	buf.B = buf.B[:n-1]
	return true
}

// startWrite writes b in the background, as the send buffer of a socket allows: a connection of package pipenet has none,
// and its peer may write several messages before it reads. The returned channel gets the write's error.
func (m *Member) startWrite(nc net.Conn, b []byte) <-chan error {
	written := make(chan error, 1)
	go func() { written <- m.writeAnswer(nc, b) }()
	return written
}

// writeAnswer writes b with the pauses that the configuration names.
func (m *Member) writeAnswer(nc net.Conn, b []byte) error {
	if after := m.c.conf.PauseAfter; after > 0 && len(b) > after {
		if err := m.writePieces(nc, b[:after]); err != nil {
			return err
		}
		select {
		case <-time.After(m.c.conf.PauseFor):
		case <-m.c.ended:
		}
		b = b[after:]
	}
	return m.writePieces(nc, b)
}

// writePieces writes b in pieces, with a pause after each but the last.
func (m *Member) writePieces(nc net.Conn, b []byte) error {
	for piece := m.c.conf.Piece; piece > 0 && len(b) > piece; b = b[piece:] {
		if _, err := nc.Write(b[:piece]); err != nil {
			return err
		}
		time.Sleep(m.c.conf.PiecePause)
	}
	_, err := nc.Write(b)
	return err
}

// answer runs one statement.
func (m *Member) answer(out []byte, buf *pgwire.Buf) []byte {
	m.c.mu.Lock()
	hang := m.hang
	m.took++
	m.c.mu.Unlock()
	switch {
	case hang:
		return nil
	case pgwire.Empty(buf.B):
		return pgwire.AppendReadyForQuery(pgwire.Append(out, 'I'))
	case strings.HasPrefix(string(buf.B), "SHOW health"):
		m.c.mu.Lock()
		defer m.c.mu.Unlock()
		m.Probes++
		one := 0
		if m.primary {
			one = 1
		}
		return m.stamp(row(out, fmt.Sprintf("x0=%.3f,x1=%d,queue=0,inflight=%d", float64(m.position())/1000, one, len(m.slots)), "SHOW"), m.position())
	}
	st, err := pgwire.Parse(buf)
	if err != nil {
		return pgwire.AppendReadyForQuery(pgwire.AppendError(out, "ERROR", pgwire.ProtocolViolation, err.Error(), ""))
	}
	select {
	case m.slots <- struct{}{}:
	default:
		m.c.mu.Lock()
		m.Refused++
		m.c.mu.Unlock()
		return pgwire.AppendReadyForQuery(pgwire.AppendError(out, "ERROR", pgwire.TooManyConnections, "queue full", ""))
	}
	if m.c.conf.Work > 0 {
		time.Sleep(m.c.conf.Work)
	}
	<-m.slots
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.hang {
		return nil
	}
	if st.IsRead {
		value, _ := m.g.get(st.ItemKey, m.position())
		if prefix, after, limit, ok := pgwire.ParsePage(st.ItemKey); ok && strings.Contains(string(buf.B), " FROM pages ") {
			value = m.g.page(prefix, after, limit, m.position())
		}
		m.Served++
		return m.stamp(row(out, value, "SELECT 1"), m.position())
	}
	value, key := insert(buf.B)
	lsn, ok := m.write(st.ItemKey, value, key)
	if !ok {
		return m.stamp(pgwire.AppendError(out, "ERROR", pgwire.ReadOnly, "this is no primary", ""), m.position())
	}
	return m.stamp(row(out, value, "INSERT 0 1"), lsn)
}

// write writes a row under an idempotency key, which may be empty, and returns its commit. ok is false where
// this is no primary. The caller holds the lock.
func (m *Member) write(id, value, key string) (lsn int64, ok bool) {
	if !m.primary {
		return 0, false
	}
	m.Served++
	now := time.Now()
	if key != "" {
		if was, ok := m.g.keys[key]; ok && now.Sub(was.at) < keyWindow {
			return was.lsn, true // a repeat has no effect
		}
		m.g.runs[key]++
	}
	lsn = now.UnixMilli()
	m.g.put(id, value, lsn)
	if key != "" {
		m.g.keys[key] = keyed{now, value, lsn}
	}
	return lsn, true
}

const pageBytes = 40 << 10 // of values; with base64 and ids it stays below what a value may hold

// page is a page of the rows as of a position.
func (g *group) page(prefix, after string, limit int, at int64) string {
	p := call.Page{Items: []call.Item{}}
	size := 0
	for i := sort.SearchStrings(g.ids, max(prefix, after)); i < len(g.ids) && strings.HasPrefix(g.ids[i], prefix); i++ {
		if g.ids[i] <= after && after != "" {
			continue
		}
		value, ok := g.get(g.ids[i], at)
		if !ok {
			continue
		}
		if size += len(value) + len(g.ids[i]); len(p.Items) == limit || size > pageBytes && len(p.Items) > 0 {
			p.More = true
			break
		}
		p.Items = append(p.Items, call.Item{ID: g.ids[i], Value: []byte(plain(value))})
	}
	text, err := json.Marshal(p)
	if err != nil {
		panic(err) // strings and bytes
	}
	return string(text)
}

// plain is a stored value as its bytes: bytea is stored as it was written, in hexadecimal.
func plain(value string) string {
	if h, ok := strings.CutPrefix(value, `\x`); ok {
		if raw, err := hex.DecodeString(h); err == nil {
			return string(raw)
		}
	}
	return value
}

// insert finds the value and the idempotency key of an INSERT.
func insert(text []byte) (value, key string) {
	s := string(text)
	if i := strings.Index(s, "k="); i >= 0 && i < strings.Index(s, "*/") {
		key = s[i+2:]
		key = key[:strings.IndexAny(key, ",* ")]
	}
	_, rest, _ := strings.Cut(s, "VALUES (")
	if parts := strings.Split(rest, "'"); len(parts) > 3 {
		value = parts[3]
	}
	return value, key
}

// stamp ends an answer with the role and a position.
func (m *Member) stamp(out []byte, lsn int64) []byte {
	role := "on"
	if m.primary {
		role = "off"
	}
	out = pgwire.AppendParameterStatus(out, "recovery", role)
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(out, "lsn_ms", strconv.FormatInt(lsn, 10)))
}

// row is an answer of one column and one row.
func row(b []byte, value, tag string) []byte {
	column := "\x00\x01doc\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"
	b = pgwire.Append(b, 'T', column)
	b = pgwire.Append(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	return pgwire.Append(b, 'C', tag, "\x00")
}

// List is the list in discovery's form.
func (c *Cluster) List() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list()
}

func (c *Cluster) list() map[string]any {
	instances := []map[string]any{}
	for _, m := range c.members {
		if m.gone {
			continue
		}
		state := "ready"
		if m.drain {
			state = "draining"
		}
		instances = append(instances, map[string]any{"instanceId": m.ID, "hostPort": m.Addr, "zone": m.Zone, "machineType": "m", "cell": m.Group,
			"lifecycle": state, "weight": 1.0, "startedAtMs": m.started})
	}
	return map[string]any{"generation": c.generation, "reset": true, "instances": instances}
}

const waitMost = time.Minute

func (c *Cluster) serveDiscovery() {
	defer c.done.Done()
	handler := func(w http.ResponseWriter, r *http.Request) {
		index, _ := strconv.ParseInt(r.FormValue("index"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait"))
		end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, waitMost))
		defer end.Stop()
		for waiting := true; waiting; {
			c.mu.Lock()
			newer, changed, closed := c.generation > index || index == 0, c.changed, c.closed
			c.mu.Unlock()
			if newer || closed {
				break
			}
			select {
			case <-changed:
			case <-end.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
		c.mu.Lock()
		list := c.list()
		c.mu.Unlock()
		if list["generation"] == index {
			list = map[string]any{"generation": index, "reset": false, "instances": []any{}}
		}
		_ = json.NewEncoder(w).Encode(list)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", handler)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	_ = s.Serve(c.discovery)
	_ = s.Close()
}

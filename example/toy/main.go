// Command toy is what a newcomer needs to try the gateway on one machine: a
// primary and a replica that speak PostgreSQL's protocol and keep rows in
// memory, and a discovery service that lists them. It is no database.
package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/pflag"

	"reachwind/internal/pgwire"
)

// store is the rows of both members; the replica sees them a little later.
type store struct {
	mu   sync.Mutex
	rows map[string][]version
}

type version struct {
	at    time.Time
	value string
}

var insert = regexp.MustCompile(`(?is)VALUES \('([^']*)', '([^']*)'\)`)
var selects = regexp.MustCompile(`(?is)WHERE id = '([^']*)'`)

func main() {
	primary := pflag.String("primary", "127.0.0.1:6001", "`address` of the primary")
	replica := pflag.String("replica", "127.0.0.1:6002", "`address` of the replica")
	discovery := pflag.String("discovery", "127.0.0.1:6500", "`address` of discovery")
	lag := pflag.Duration("lag", 10*time.Millisecond, "by which the replica is behind")
	pflag.Parse()
	s := &store{rows: map[string][]version{}}
	go listen(*primary, func(c net.Conn) { s.member(c, 0, true) })
	go listen(*replica, func(c net.Conn) { s.member(c, *lag, false) })
	log.Printf("primary %s, replica %s, discovery %s", *primary, *replica, *discovery)
	listen(*discovery, func(c net.Conn) { list(c, *primary, *replica) })
}

func listen(addr string, serve func(net.Conn)) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			serve(c)
			_ = c.Close()
		}()
	}
}

// member serves one connection.
func (s *store) member(c net.Conn, lag time.Duration, primary bool) {
	r := bufio.NewReader(c)
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
	out := pgwire.AppendReady(pgwire.Append(nil, 'R', "\x00\x00\x00\x00"))
	for {
		if _, err := c.Write(out); err != nil {
			return
		}
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		typ, n, err := pgwire.Header(head)
		if err != nil || typ != 'Q' {
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		out = s.answer(strings.TrimSuffix(string(body), "\x00"), time.Now().Add(-lag), primary)
	}
}

// answer runs one statement on the data as of a time.
func (s *store) answer(text string, at time.Time, primary bool) []byte {
	role, one := "on", 0
	if primary {
		role, one = "off", 1
	}
	reply := func(b []byte) []byte {
		b = pgwire.AppendStatus(b, "recovery", role)
		return pgwire.AppendReady(pgwire.AppendStatus(b, "lsn_ms", strconv.FormatInt(at.UnixMilli(), 10)))
	}
	if pgwire.Empty([]byte(text)) {
		return pgwire.AppendReady(pgwire.Append(nil, 'I'))
	}
	if strings.HasPrefix(text, "SHOW health") {
		return reply(row(fmt.Sprintf("x0=%.3f,x1=%d,queue=0,inflight=0", float64(at.UnixMilli())/1000, one), "SHOW"))
	}
	log.Printf("recovery=%s %s", role, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := insert.FindStringSubmatch(text); m != nil {
		if !primary {
			return reply(pgwire.AppendError(nil, "ERROR", pgwire.ReadOnly, "this is no primary", ""))
		}
		at = time.Now()
		s.rows[m[1]] = append(s.rows[m[1]], version{at, m[2]})
		return reply(row(m[2], "INSERT 0 1"))
	}
	if m := selects.FindStringSubmatch(text); m != nil {
		value := ""
		for _, v := range s.rows[m[1]] {
			if !v.at.After(at) {
				value = v.value
			}
		}
		return reply(row(value, "SELECT 1"))
	}
	return reply(pgwire.AppendError(nil, "ERROR", pgwire.SyntaxError, "the toy knows no such statement", ""))
}

// row is an answer of one column and one row.
func row(value, tag string) []byte {
	column := "\x00\x01doc\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"
	b := pgwire.Append(nil, 'T', column)
	b = pgwire.Append(b, 'D', "\x00\x01", string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))), value)
	return pgwire.Append(b, 'C', tag, "\x00")
}

// list answers discovery's calls: the list never changes, so a watch waits its time out.
func list(c net.Conn, primary, replica string) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		for rest := "."; strings.TrimSpace(rest) != ""; {
			if rest, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		body := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[`+
			`{"instanceId":"one","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"ready","weight":1},`+
			`{"instanceId":"two","hostPort":%q,"zone":"a","machineType":"m","cell":0,"lifecycle":"ready","weight":1}]}`,
			primary, replica)
		if _, wait, ok := strings.Cut(line, "wait="); ok {
			ms, _ := strconv.Atoi(strings.Fields(wait)[0])
			time.Sleep(time.Duration(ms) * time.Millisecond)
			body = `{"generation":1,"reset":false,"instances":[]}`
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

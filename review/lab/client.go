package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// pgClient is a client that speaks PostgreSQL's protocol, one command at a time.
type pgClient struct {
	net.Conn
	r *bufio.Reader
}

// result is what a client got for a request.
type result struct {
	kind  string // served, refused, failed, or closed
	code  string
	value []byte
	took  time.Duration
}

func dialPG(addr string) (*pgClient, error) { return dialWith(&net.Dialer{Timeout: time.Second}, addr) }

func dialWith(d *net.Dialer, addr string) (*pgClient, error) {
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &pgClient{nc, bufio.NewReaderSize(nc, 4096)}
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := nc.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)); err != nil {
		return nil, err
	}
	for {
		typ, _, err := c.message()
		if err != nil {
			_ = nc.Close()
			return nil, err
		}
		if typ == 'Z' {
			return c, nc.SetDeadline(time.Time{})
		}
	}
}

func (c *pgClient) message() (byte, []byte, error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return 0, nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err := io.ReadFull(c.r, body)
	return head[0], body, err
}

// do sends one statement and reads its answer; limit bounds the wait.
func (c *pgClient) do(text string, limit time.Duration) (q result) {
	began := time.Now()
	defer func() { q.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(limit))
	if _, err := c.Write(message(nil, 'Q', text, "\x00")); err != nil {
		return result{kind: "closed", code: err.Error()}
	}
	for {
		typ, body, err := c.message()
		var late net.Error
		switch {
		case errors.As(err, &late) && late.Timeout():
			q.kind, q.code = "closed", "no answer"
			return q
		case err != nil:
			if q.kind != "refused" && q.kind != "failed" {
				q.kind, q.code = "closed", err.Error()
			}
			return q
		}
		switch typ {
		case 'D':
			q.value = body[6:]
		case 'C':
			q.kind = "served"
		case 'I':
			q.kind = "empty"
		case 'E':
			for _, f := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(f, "C") {
					q.code = f[1:]
				}
			}
			q.kind = "failed"
			if q.code == "53300" || q.code == "57P03" {
				q.kind = "refused"
			}
		case 'Z':
			return q
		}
	}
}

func readText(id, class, tenant string, waitMs, cluster int, more, item string) string {
	return fmt.Sprintf("/* id=%s,c=%s%s,d=%d,cluster=%d%s */ SELECT doc FROM items WHERE id = '%s'", id, class, tenantField(tenant), waitMs, cluster, more, item)
}

func writeText(id, class, tenant string, waitMs, cluster int, more, item string, value []byte) string {
	return fmt.Sprintf(`/* id=%s,c=%s%s,d=%d%s,cluster=%d */ INSERT INTO items (id, doc) VALUES ('%s', '\x%x') RETURNING doc`, id, class, tenantField(tenant), waitMs, more, cluster, item, value)
}

func tenantField(tenant string) string {
	if tenant == "" {
		return ""
	}
	return ",t=" + tenant
}

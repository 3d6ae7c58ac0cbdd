package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"reachwind/decide"
)

const (
	maxLine    = 8 << 10
	maxHeaders = 64
	maxInterim = 4
	maxBody    = decide.MaxMembers * 640 // an indented entry takes up to some 530 bytes
)

var errHTTP = errors.New("malformed HTTP answer")

// response is an HTTP/1.1 answer.
type response struct {
	status int
	keep   bool // the connection may be used again
	body   []byte
}

// appendGet appends a request.
func appendGet(b []byte, host, target string) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, host)
}

// conn is a connection to discovery, for one call at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	begun bool      // of the answer that is read, some has come
	last  time.Time // by which it has to be whole
	end   time.Time // the same, or sooner, once it has begun
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReader(c)
	return c
}

// Read keeps to the pace of an answer once it has begun.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		if !c.begun {
			c.begun, c.end = true, earlier(now.Add(whole), c.last)
		}
		_ = c.SetReadDeadline(earlier(c.end, now.Add(pause)))
	}
	return n, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ask makes a request and reads its answer, of which the first byte may take so long.
func (c *conn) ask(request []byte, first time.Duration) (*response, error) {
	end := time.Now().Add(first)
	c.last = end.Add(wholeLate)
	wait := func() {
		c.begun = false
		_ = c.SetDeadline(end)
	}
	wait()
	if _, err := c.Write(request); err != nil {
		return nil, err
	}
	return readResponse(c.r, wait)
}

// readResponse reads one answer, its body whole, and passes over interim ones before it, after each of which it
// calls interim.
func readResponse(r *bufio.Reader, interim func()) (*response, error) {
	for range maxInterim {
		if resp, err := readOne(r); err != nil || resp.status >= 200 {
			return resp, err
		}
		interim()
	}
	return nil, fmt.Errorf("%w: interim answers only", errHTTP)
}

func readOne(r *bufio.Reader) (*response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 100 || status > 999 {
		return nil, fmt.Errorf("%w: status line %.40q", errHTTP, line)
	}
	resp := &response{status: status, keep: proto != "HTTP/1.0"}
	length, chunked := int64(-1), false
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil {
			return nil, err
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || n >= maxHeaders {
			return nil, fmt.Errorf("%w: header %.40q", errHTTP, line)
		}
		value = strings.ToLower(strings.TrimSpace(value))
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil || length < 0 || length > maxBody {
				return nil, fmt.Errorf("%w: length %.40q", errHTTP, value)
			}
		case "transfer-encoding":
			chunked = value == "chunked"
		case "connection":
			resp.keep = resp.keep && value != "close"
		}
	}
	switch {
	case status == 204 || status == 304 || status < 200:
	case chunked:
		resp.body, err = readChunks(r)
	case length >= 0:
		resp.body = make([]byte, length)
		_, err = io.ReadFull(r, resp.body)
	default:
		resp.keep = false
		if resp.body, err = io.ReadAll(io.LimitReader(r, maxBody+1)); err == nil && len(resp.body) > maxBody {
			err = fmt.Errorf("%w: body too long", errHTTP)
		}
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// readLine reads a line of bounded length, without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return "", fmt.Errorf("%w: line too long", errHTTP)
		}
		if err == nil {
			return strings.TrimRight(string(line), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
}

func readChunks(r *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 32)
		if err != nil || len(body)+int(n) > maxBody {
			return nil, fmt.Errorf("%w: chunk %.40q", errHTTP, line)
		}
		if n == 0 {
			for line != "" { // trailers
				if line, err = readLine(r); err != nil {
					return nil, err
				}
			}
			return body, nil
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, err
		}
		if end, err := readLine(r); err != nil || end != "" {
			return nil, fmt.Errorf("%w: chunk without end", errHTTP)
		}
	}
}

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
	maxLine    = 8 << 10                 // bytes of a status, header or chunk size line
	maxHeaders = 64                      // header fields of an answer
	maxInterim = 4                       // answers read for one request, interim ones (1xx) included
	maxBody    = decide.MaxMembers * 640 // bytes; an indented entry takes up to some 530
)

var errHTTP = errors.New("malformed HTTP answer")

// response is an HTTP/1.1 answer.
type response struct {
	status    int
	keepAlive bool // the connection may be reused
	body      []byte
}

// appendGet appends a GET request to b.
func appendGet(b []byte, host, target string) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", target, host)
}

// conn is a connection to discovery, for one call at a time.
type conn struct {
	net.Conn
	r           *bufio.Reader
	answerBegun bool      // some of the current answer arrived
	latestEnd   time.Time // when the current answer must be complete at the latest
	answerEnd   time.Time // when an answer that has begun must be complete; not after last
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReader(c)
	return c
}

// Read enforces the time limits of an answer that has begun: on the whole of it, and on the gap between two reads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		if !c.answerBegun {
			c.answerBegun, c.answerEnd = true, earlier(now.Add(answerTimeout), c.latestEnd)
		}
		_ = c.SetReadDeadline(earlier(c.answerEnd, now.Add(maxReadGap)))
	}
	return n, err
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// roundTrip sends a request and reads its answer, whose first byte must arrive within first.
func (c *conn) roundTrip(request []byte, firstByteIn time.Duration) (*response, error) {
	firstByteBy := time.Now().Add(firstByteIn)
	c.latestEnd = firstByteBy.Add(lateAnswerTimeout)
	expectAnswer := func() {
		c.answerBegun = false
		_ = c.SetDeadline(firstByteBy)
	}
	expectAnswer()
	if _, err := c.Write(request); err != nil {
		return nil, err
	}
	return readResponse(c.r, expectAnswer)
}

// readResponse reads one answer with its whole body. It skips interim answers before it, and calls interim after each.
func readResponse(r *bufio.Reader, onInterim func()) (*response, error) {
	for range maxInterim {
		if resp, err := readAnyResponse(r); err != nil || resp.status >= 200 {
			return resp, err
		}
		onInterim()
	}
	return nil, fmt.Errorf("%w: too many interim answers, want a final one", errHTTP)
}

// readAnyResponse reads one answer, interim or final.
func readAnyResponse(r *bufio.Reader) (*response, error) {
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
	resp := &response{status: status, keepAlive: proto != "HTTP/1.0"}
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
			resp.keepAlive = resp.keepAlive && value != "close"
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
		resp.keepAlive = false
		if resp.body, err = io.ReadAll(io.LimitReader(r, maxBody+1)); err == nil && len(resp.body) > maxBody {
			err = fmt.Errorf("%w: body too long", errHTTP)
		}
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// readLine reads a line of at most maxLine bytes and returns it without its line ending.
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

// readChunks reads a body in chunked transfer coding, trailers included.
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

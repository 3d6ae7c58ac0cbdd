package restfront

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/cursor"
	"reachwind/internal/record"
)

const (
	limitUsual = 100
	skew       = 5 * time.Second // by which the clocks of gateways that share keys may differ
)

// listing is a listing that a request goes on with.
type listing struct {
	from  cursor.Cursor // where it stands; its position is the first page's, 0 for the first
	class string
	limit int
	text  string // the query's prefix
}

// ring reads the keys of cursors.
func (c *Config) ring() (*cursor.KeyRing, error) {
	if c.CursorKeysFile == "" {
		k := cursor.Key{ID: 1, IssueFrom: skew, AcceptUntil: 1 << 62}
		if _, err := rand.Read(k.Secret[:]); err != nil {
			return nil, err
		}
		return cursor.NewKeyRing([]cursor.Key{k}, c.CursorLifetime, skew)
	}
	text, err := os.ReadFile(c.CursorKeysFile)
	if err != nil {
		return nil, err
	}
	keys, err := cursor.ParseKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.CursorKeysFile, err)
	}
	ring, err := cursor.NewKeyRing(keys, c.CursorLifetime, skew)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.CursorKeysFile, err)
	}
	return ring, nil
}

// cursorProblems are the kinds of what may be wrong with a cursor.
var cursorProblems = []struct {
	err    error
	kind   string
	status int
}{{cursor.ErrFormat, "cursor-format", 400}, {cursor.ErrVersion, "cursor-version", 400}, {cursor.ErrUnknownKey, "cursor-key", 410}, {cursor.ErrForged, "cursor-forged", 400},
	{cursor.ErrExpired, "cursor-expired", 410}, {cursor.ErrIssuedInFuture, "cursor-future", 400}, {cursor.ErrQueryMismatch, "cursor-query", 400}}

// listing reads what a page is asked for by, and fills it in.
func (s *Server) listing(r *http.Request, c *call.Request, now core.Time) (*listing, *problem) {
	bad := func(kind string, status int, format string, args ...any) (*listing, *problem) {
		return nil, &problem{kind: kind, status: status, detail: fmt.Sprintf(format, args...), outcome: record.Failed, cause: record.Invalid}
	}
	f, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return bad("query", 400, "the query can't be read")
	}
	for name, values := range f {
		if len(values) > 1 || name != "prefix" && name != "limit" && name != "cursor" {
			return bad("query", 400, "the query holds %.40q %d times, want prefix, limit and cursor once", name, len(values))
		}
	}
	l := &listing{class: c.Class, limit: limitUsual, text: f.Get("prefix")}
	if len(l.text) > cursor.MaxIDBytes || !utf8.ValidString(l.text) {
		return bad("prefix", 400, "the prefix has %d bytes, want at most %d of UTF-8", len(l.text), cursor.MaxIDBytes)
	}
	if f.Has("limit") {
		if l.limit, err = strconv.Atoi(f.Get("limit")); err != nil || l.limit < 1 || l.limit > call.MaxPageItems {
			return bad("limit", 400, "the limit is %.40q, want 1 to %d", f.Get("limit"), call.MaxPageItems)
		}
	}
	// the limit is not of the query: a client may take smaller pages as it goes
	l.from.Query = cursor.Fingerprint(c.Class, c.Tenant, r.Header.Get("Reachwind-Session"), l.text, c.Cluster)
	if f.Has("cursor") {
		from, err := s.ring.Load().Open(f.Get("cursor"), l.from.Query, now)
		if err != nil {
			for _, p := range cursorProblems {
				if errors.Is(err, p.err) {
					return bad(p.kind, p.status, "%v; begin the listing anew", err)
				}
			}
			return bad("cursor-format", 400, "%v", err)
		}
		l.from = from
	}
	c.Prefix, c.After, c.Limit = l.text, l.from.After, l.limit
	return l, nil
}

// page makes the answer of a member's page: its items, and the cursor of the next where there are more.
func (s *Server) page(h http.Header, r *http.Request, l *listing, value []byte, position core.Time) ([]byte, error) {
	var p call.Page
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, err
	}
	last := l.from.After
	for _, it := range p.Items { // a member that repeats or skips back would break what the cursor promises
		if it.ID <= last && last != "" || len(p.Items) > l.limit {
			return nil, errors.New("a page out of order")
		}
		last = it.ID
	}
	out := struct {
		Items  []call.Item `json:"items"`
		Cursor string      `json:"cursor,omitempty"`
	}{Items: p.Items}
	if p.More && len(p.Items) > 0 {
		next := l.from
		if next.Page == 0 {
			next.Position = position
		}
		next.Page++
		next.After = last
		text, err := s.ring.Load().Seal(next, s.core.Now(), rand.Reader)
		if err != nil {
			return nil, err
		}
		out.Cursor = text
		q := url.Values{"cursor": {text}, "limit": {strconv.Itoa(l.limit)}}
		if l.text != "" {
			q.Set("prefix", l.text)
		}
		h.Set("Link", "<"+r.URL.EscapedPath()+"?"+q.Encode()+`>; rel="next"`) // RFC 8288
	}
	if out.Items == nil {
		out.Items = []call.Item{}
	}
	return json.Marshal(out)
}

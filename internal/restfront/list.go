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
	defaultPageSize = 100             // items of a page, unless the client names a limit
	clockSkew       = 5 * time.Second // allowed difference between the clocks of gateways that share keys
)

// listing is a listing that a request begins or continues.
type listing struct {
	from   cursor.Cursor // where the page begins; its position is that of the first page, 0 while that is requested
	class  string
	limit  int    // items of a page at most
	prefix string // only items whose ids begin with it
}

// newCursorRing reads the keys of cursors, or makes a random one if no file is configured.
func (c *Config) newCursorRing() (*cursor.KeyRing, error) {
	if c.CursorKeysFile == "" {
		k := cursor.Key{ID: 1, IssueFrom: clockSkew, AcceptUntil: 1 << 62}
		if _, err := rand.Read(k.Secret[:]); err != nil {
			return nil, err
		}
		return cursor.NewKeyRing([]cursor.Key{k}, c.CursorLifetime, clockSkew)
	}
	text, err := os.ReadFile(c.CursorKeysFile)
	if err != nil {
		return nil, err
	}
	keys, err := cursor.ParseKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.CursorKeysFile, err)
	}
	ring, err := cursor.NewKeyRing(keys, c.CursorLifetime, clockSkew)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.CursorKeysFile, err)
	}
	return ring, nil
}

// cursorProblems maps the errors of a cursor to kinds and statuses of problems.
var cursorProblems = []struct {
	err    error
	kind   string
	status int
}{{cursor.ErrFormat, "cursor-format", 400}, {cursor.ErrVersion, "cursor-version", 400}, {cursor.ErrUnknownKey, "cursor-key", 410}, {cursor.ErrForged, "cursor-forged", 400},
	{cursor.ErrExpired, "cursor-expired", 410}, {cursor.ErrIssuedInFuture, "cursor-future", 400}, {cursor.ErrQueryMismatch, "cursor-query", 400}}

// parseListing parses the query of a page and fills it into c.
func (s *Server) parseListing(r *http.Request, c *call.Request, now core.Time) (*listing, *problem) {
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
	l := &listing{class: c.Class, limit: defaultPageSize, prefix: f.Get("prefix")}
	if len(l.prefix) > cursor.MaxIDBytes || !utf8.ValidString(l.prefix) {
		return bad("prefix", 400, "the prefix has %d bytes, want at most %d of UTF-8", len(l.prefix), cursor.MaxIDBytes)
	}
	if f.Has("limit") {
		if l.limit, err = strconv.Atoi(f.Get("limit")); err != nil || l.limit < 1 || l.limit > call.MaxPageItems {
			return bad("limit", 400, "the limit is %.40q, want 1 to %d", f.Get("limit"), call.MaxPageItems)
		}
	}
	// The limit is not part of the fingerprint: a client may change the size of pages during a listing.
	l.from.Query = cursor.Fingerprint(c.Class, c.Tenant, r.Header.Get("Reachwind-Session"), l.prefix, c.Cluster)
	if f.Has("cursor") {
		from, err := s.cursorRing.Load().Open(f.Get("cursor"), l.from.Query, now)
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
	c.Prefix, c.After, c.Limit = l.prefix, l.from.After, l.limit
	return l, nil
}

// encodePage makes the answer from a member's page: its items, and the cursor of the next page if there are more.
func (s *Server) encodePage(h http.Header, r *http.Request, l *listing, value []byte, position core.Time) ([]byte, error) {
	var p call.Page
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, err
	}
	last := l.from.After
	for _, it := range p.Items { // a cursor guarantees ascending ids: a member must not repeat items or go back
		if it.ID <= last && last != "" || len(p.Items) > l.limit {
			return nil, errors.New("the member's page is not in ascending order of ids or longer than the limit")
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
		text, err := s.cursorRing.Load().Seal(next, s.core.Now(), rand.Reader)
		if err != nil {
			return nil, err
		}
		out.Cursor = text
		q := url.Values{"cursor": {text}, "limit": {strconv.Itoa(l.limit)}}
		if l.prefix != "" {
			q.Set("prefix", l.prefix)
		}
		h.Set("Link", "<"+r.URL.EscapedPath()+"?"+q.Encode()+`>; rel="next"`) // RFC 8288
	}
	if out.Items == nil {
		out.Items = []call.Item{}
	}
	return json.Marshal(out)
}

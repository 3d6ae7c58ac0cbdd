package pgwire

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"

	"reachwind/internal/call"
)

// EncodeCall returns the parts of a Query for a call that came by another protocol: the statement that a client of
// PostgreSQL would have sent for it, as the protocol page has it. Values go as bytea in hexadecimal.
func EncodeCall(c *call.Request, wait int64) [][]byte {
	b := make([]byte, 5, 256+2*len(c.Value))
	b = append(append(b, "/* id="...), c.ID...)
	b = append(append(b, ",c="...), c.Class...)
	if c.Tenant != "" {
		b = append(append(b, ",t="...), c.Tenant...)
	}
	b = strconv.AppendInt(append(b, ",d="...), wait, 10)
	if c.Key != "" {
		b = append(append(b, ",k="...), c.Key...)
	}
	if c.Retry {
		b = append(b, ",r=1"...)
	}
	b = strconv.AppendInt(append(b, ",cluster="...), c.Cluster, 10)
	item := strings.ReplaceAll(c.Item, "'", "''")
	switch c.Op {
	case call.List:
		b = append(append(append(b, " */ SELECT doc FROM pages WHERE id = '"...), pageID(c)...), "'\x00"...)
	case call.Write:
		b = append(append(append(b, " */ INSERT INTO items (id, doc) VALUES ('"...), item...), `', '\x`...)
		b = hex.AppendEncode(b, c.Value)
		b = append(b, "') RETURNING doc\x00"...)
	default:
		b = append(append(append(b, " */ SELECT doc FROM items WHERE id = '"...), item...), "'\x00"...)
	}
	b[0] = 'Q'
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	return [][]byte{b}
}

// A page is asked of PostgreSQL as one row of a relation "pages", whose id says which page: "p", the limit, and in
// hexadecimal the id that it begins after and the prefix, with ":" between. Its doc is a call.Page in JSON. Members
// of the platform never see this form.
func pageID(c *call.Request) string {
	return "p:" + strconv.Itoa(c.Limit) + ":" + hex.EncodeToString([]byte(c.After)) + ":" + hex.EncodeToString([]byte(c.Prefix))
}

// ParsePage reads the id of a page.
func ParsePage(id string) (prefix, after string, limit int, ok bool) {
	f := strings.Split(id, ":")
	if len(f) != 4 || f[0] != "p" {
		return "", "", 0, false
	}
	limit, err := strconv.Atoi(f[1])
	a, err2 := hex.DecodeString(f[2])
	p, err3 := hex.DecodeString(f[3])
	if err != nil || err2 != nil || err3 != nil || limit < 1 || limit > call.MaxPageItems {
		return "", "", 0, false
	}
	return string(p), string(a), limit, true
}

// ValidCommentValue tells whether a text can stand in a statement's comment.
func ValidCommentValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '*' || c == '/' || c == '=' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxName
}

var errNoRow = errors.New("the answer holds no row")

// Value implements call.Answer for a buffer with a member's whole answer. A bytea in its text form is given as the
// bytes it stands for.
func (b *Buf) Value() ([]byte, error) {
	for at := 0; at+5 <= len(b.B); {
		typ, n, err := Header(b.B[at : at+5])
		if err != nil || at+5+n > len(b.B) {
			return nil, errNoRow
		}
		if typ == 'D' {
			v, err := DataRowValue(b.B[at+5 : at+5+n])
			if err != nil {
				return nil, err
			}
			if len(v) >= 2 && v[0] == '\\' && v[1] == 'x' {
				if raw, err := hex.DecodeString(string(v[2:])); err == nil {
					return raw, nil
				}
			}
			return v, nil
		}
		at += 5 + n
	}
	return nil, errNoRow
}

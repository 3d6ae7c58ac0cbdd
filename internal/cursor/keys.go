package cursor

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxKeys bounds a key file, as a ring is searched for each cursor.
const maxKeys = 64

// ParseKeys parses a key file. Each line holds a key: its id, its secret as 64 hexadecimal digits, and the times from
// which it is accepted, from which it is issued and at which it ends (RFC 3339), where "-" means no limit. Empty lines
// and lines that begin with # are skipped. Errors name the line and never contain the secret.
func ParseKeys(text []byte) ([]Key, error) {
	var keys []Key
	n := 0
	for in := bufio.NewScanner(bytes.NewReader(text)); in.Scan(); {
		n++
		f := strings.Fields(in.Text())
		if len(f) == 0 || f[0][0] == '#' {
			continue
		}
		if len(f) != 5 {
			return nil, fmt.Errorf("line %d: %d fields, want id, secret, accepted from, issued from and end", n, len(f))
		}
		id, err := strconv.ParseUint(f[0], 10, 32)
		if err != nil {
			return nil, fmt.Errorf("line %d: the id is %.20q, want a whole number", n, f[0])
		}
		k := Key{ID: uint32(id), AcceptUntil: 1 << 62}
		if raw, err := hex.DecodeString(f[1]); err != nil || len(raw) != len(k.Secret) {
			return nil, fmt.Errorf("line %d: the secret of key %d has %d characters, want %d hexadecimal digits", n, id, len(f[1]), 2*len(k.Secret))
		} else {
			copy(k.Secret[:], raw)
		}
		for i, to := range []*Time{&k.AcceptFrom, &k.IssueFrom, &k.AcceptUntil} {
			if f[2+i] == "-" {
				continue
			}
			at, err := time.Parse(time.RFC3339, f[2+i])
			if err != nil {
				return nil, fmt.Errorf("line %d: key %d: %.40q, want a time as 2026-01-31T00:00:00Z, or -", n, id, f[2+i])
			}
			*to = Time(at.UnixNano())
		}
		if keys = append(keys, k); len(keys) > maxKeys {
			return nil, fmt.Errorf("line %d: more than %d keys", n, maxKeys)
		}
	}
	return keys, nil
}

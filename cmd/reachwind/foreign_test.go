package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"

	"reachwind/internal/gateway"
	"reachwind/internal/pgwire"
)

// TestForeignSettings: a gateway with the settings of another deployment knows only that deployment's classes, follows
// its rules, and shuts down without an error.
func TestForeignSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		statements []string
		want       string
	}{
		"foothill": {[]string{
			"/* id=1,c=lift-state,t=guides,d=9000,cluster=7 */ SELECT doc FROM items WHERE id = 'k'",
			"/* id=2,c=charge,t=nobody,d=9000,cluster=7 */ INSERT INTO items (id, doc) VALUES ('k', 'v') RETURNING doc",
			"/* id=3,c=bed-hold,d=9000,cluster=7 */ INSERT INTO items (id, doc) VALUES ('k', 'v') RETURNING doc",
			"/* id=4,c=priority,d=9000,cluster=7 */ SELECT doc FROM items WHERE id = 'k'",
		}, "53300 150,53300 150,42601 ,42601 ,"},
		"harbour": {[]string{
			"/* id=1,c=priority,t=yachts,d=9000,cluster=7 */ SELECT doc FROM items WHERE id = 'k'",
			"/* id=2,c=berth,t=yachts,d=9000,k=a,cluster=7 */ INSERT INTO items (id, doc) VALUES ('k', 'v') RETURNING doc",
			"/* id=3,c=books,d=9000,cluster=7 */ INSERT INTO items (id, doc) VALUES ('k', 'v') RETURNING doc",
			"/* id=4,c=hut-page,d=9000,cluster=7 */ SELECT doc FROM items WHERE id = 'k'",
		}, "53300 ,53300 ,42601 ,42601 ,"},
	} {
		t.Run(name, func(t *testing.T) {
			settings, err := os.ReadFile("../../internal/settings/testdata/" + name + ".json")
			if err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
				"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "settings": json.RawMessage(settings)})
			if err != nil {
				t.Fatal(err)
			}
			c, err := gateway.Parse(text, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			term, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- gateway.Run(term, nil, c, l, gateway.Options{Log: slog.New(slog.DiscardHandler)}) }()
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			out := pgwire.AppendStartup(nil, "app", "shop")
			for _, s := range tc.statements {
				out = pgwire.Append(out, 'Q', s, "\x00")
			}
			if _, err := nc.Write(out); err != nil {
				t.Fatal(err)
			}
			r, got := bufio.NewReader(nc), ""
			for ready := 0; ready <= len(tc.statements); {
				head := make([]byte, 5)
				if _, err := io.ReadFull(r, head); err != nil {
					t.Fatal(err)
				}
				typ, n, _ := pgwire.Header(head)
				body := make([]byte, n)
				if _, err := io.ReadFull(r, body); err != nil {
					t.Fatal(err)
				}
				switch typ {
				case 'Z':
					ready++
				case 'E':
					got += pgwire.ErrorField(body, 'C') + " " + pgwire.ErrorField(body, 'D') + ","
				}
			}
			if got != tc.want {
				t.Errorf("answers %q, want %q", got, tc.want)
			}
			stop()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

package gateway

import (
	"testing"

	"reachwind/internal/handover"
	"reachwind/internal/standin/cluster"
)

// TestDescriptors: clients, those being ended or refused, members and operators together leave what the process itself
// needs, under every limit that is taken; a large limit is divided as ever.
func TestDescriptors(t *testing.T) {
	c := before(t, cluster.Config{Groups: 1})
	for sockets := leastSockets; sockets <= 4096; sockets += 1 + sockets/64 {
		for _, admin := range []string{"", "127.0.0.1:0"} {
			conf, err := Parse(c.GatewayConfig("gw-1", "127.0.0.1:0", 192, sockets), func(name string) string {
				if name == "NODE_ADMIN_ADDR" {
					return admin
				}
				return ""
			})
			if err != nil {
				t.Fatal(err)
			}
			b := conf.Budget(new(Edge))
			if all := b.Clients + int(sparePart*float64(b.Sockets)) + b.Members + b.Files + ownFiles; all > sockets {
				t.Errorf("%d sockets, door %q: %d are counted on: %+v", sockets, admin, all, b)
			}
			if b.Clients < 8 || b.Members < 4 {
				t.Errorf("%d sockets, door %q: %+v", sockets, admin, b)
			}
			if sockets >= 512 && b.Sockets != sockets-b.Files {
				t.Errorf("%d sockets, door %q: %d are divided", sockets, admin, b.Sockets)
			}
		}
	}
}

// TestCountUnknown: a process that can't count its descriptors says that it holds all it may, so that another one beside it
// takes no more than its least part.
func TestCountUnknown(t *testing.T) {
	if n := descriptors(ownFolder, 1<<20); n < 3 || n >= 1<<20 {
		t.Errorf("%d counted", n)
	}
	const limit = 200
	n := descriptors(t.TempDir()+"/none", limit)
	if may := handover.AllowedShare(limit, []handover.Peer{{Descriptors: n, Older: true}}, false); n != limit || may > limit/4 {
		t.Errorf("%d told, the other may use %d", n, may)
	}
}

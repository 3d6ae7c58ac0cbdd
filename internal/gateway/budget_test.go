package gateway

import (
	"testing"

	"reachwind/internal/handover"
	"reachwind/internal/standin/cluster"
)

// TestDescriptorBudget: under every permitted limit the descriptors of clients, of connections being closed or refused, of
// members and of the admin API leave those reserved for the process itself. A large limit is divided completely.
func TestDescriptorBudget(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1})
	for sockets := minSockets; sockets <= 4096; sockets += 1 + sockets/64 {
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
			if all := b.ClientConnections + int(closingFraction*float64(b.DividedSockets)) + b.MemberConnections + b.SubsystemDescriptors + reservedDescriptors; all > sockets {
				t.Errorf("%d sockets, admin address %q: %d in use at most: %+v", sockets, admin, all, b)
			}
			if b.ClientConnections < 8 || b.MemberConnections < 4 {
				t.Errorf("%d sockets, admin address %q: too few for clients or members: %+v", sockets, admin, b)
			}
			if sockets >= 512 && b.DividedSockets != sockets-b.SubsystemDescriptors {
				t.Errorf("%d sockets, admin address %q: %d are divided", sockets, admin, b.DividedSockets)
			}
		}
	}
}

// TestDescriptorCountUnknown: a process that can't count its descriptors reports its limit, so that another process of
// the gateway uses no more than its minimum.
func TestDescriptorCountUnknown(t *testing.T) {
	if n := countDescriptors(ownDescriptorDir, 1<<20); n < 3 || n >= 1<<20 {
		t.Errorf("%d descriptors counted", n)
	}
	const limit = 200
	n := countDescriptors(t.TempDir()+"/none", limit)
	if may := handover.AllowedShare(limit, []handover.Peer{{Descriptors: n, Older: true}}, false); n != limit || may > limit/4 {
		t.Errorf("%d reported, the other process may use %d", n, may)
	}
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["upgrade-rest"] = upgradeRestCase }

// upgradeRestCase: the platform replaces the process while it serves, everything but the second address being the same. The
// gateway has a REST front. The new process may not exit, and some process has to serve all the time.
func upgradeRestCase() (breaks []string) {
	machines := someMachines(3, "akl-east")
	for _, m := range machines {
		must(m.start(), "db machine")
		defer m.stop()
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err, "the platform's socket")
	socket, err := l.File()
	must(err, "the platform's socket")
	none, err := os.Open(os.DevNull)
	must(err, "descriptors")
	files := []*os.File{none, none, socket} // descriptor 5
	shared := tempDir()
	addr := l.Addr().String()
	edge := edgeFile("rest {\n  listen = \"" + freeAddr() + "\"\n}\n")
	run := func(admin string) *gateway {
		conf := baseConfig("n1", addr, d, skimap(1))
		conf["admin_addr"] = admin
		return startGateway(conf, []string{edge, "NODE_SOCKET_FD=5", "NODE_ADMIN_ADDR=" + admin, "TMPDIR=" + shared}, files)
	}
	ready := func(admin string, limit time.Duration) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			client := &http.Client{Timeout: time.Second}
			if resp, err := client.Get("http://" + admin + "/v1/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					return true
				}
			}
		}
		return false
	}
	firstAdmin, secondAdmin := freeAddr(), freeAddr()
	first := run(firstAdmin)
	if !ready(firstAdmin, 10*time.Second) {
		panic(cannotRun{"the first process is not ready: " + first.logTail()})
	}
	wait := load(addr, "field-info", 4, 50*time.Millisecond, time.Now().Add(16*time.Second))
	time.Sleep(2 * time.Second)
	if trouble {
		second := run(secondAdmin)
		yes := ready(secondAdmin, 6*time.Second)
		rec("the new process said yes within 6 s: %v", yes)
		if !alive(second) {
			breaks = append(breaks, fmt.Sprintf("the new process crashed at its start: %s", second.logTail()))
		}
		first.signal(syscall.SIGTERM)
		time.Sleep(3700 * time.Millisecond)
		if alive(first) {
			first.signal(syscall.SIGKILL)
		}
		second.copyLog()
	}
	rec("count: requests %v", wait())
	first.copyLog()
	return breaks
}

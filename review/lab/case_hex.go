package main

import (
	"time"
)

func init() { cases["rest-hex"] = restHexCase }

// restHexCase: a value whose bytes begin with \x and hexadecimal digits is written and read by REST.
func restHexCase() (breaks []string) {
	machines := someMachines(3, "akl-east")
	for _, m := range machines {
		must(m.start(), "db machine")
		defer m.stop()
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	rest := freeAddr()
	gw := startGateway(baseConfig("n1", freeAddr(), d, skimap(1)), []string{edgeFile("rest {\n  listen = \"" + rest + "\"\n}\n")}, nil)
	gw.awaitReady(10 * time.Second)
	value := "open"
	if trouble {
		value = `\x6f70656e`
	}
	url := "http://" + rest + "/v1/clusters/0/items/hut"
	status, got, _ := restCall("PUT", url, map[string]string{"Reachwind-Class": "map-edits", "Idempotency-Key": "k1"}, []byte(value))
	rec("PUT %q: status %d, body %q", value, status, got)
	time.Sleep(100 * time.Millisecond)
	status, got, _ = restCall("GET", url, map[string]string{"Reachwind-Class": "my-notes"}, nil)
	rec("GET: status %d, body %q", status, got)
	if status == 200 && string(got) != value {
		breaks = append(breaks, "written was "+value+", read was "+string(got))
	}
	return breaks
}

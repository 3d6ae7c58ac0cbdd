package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"time"

	"reachwind/internal/lab/load"
	"reachwind/internal/lab/proc"
	"reachwind/internal/standin/certs"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/collector"
	"reachwind/internal/standin/pgclient"
	"reachwind/internal/tlskeys"
)

// keyChange has authority, certificates and keys of both sides change each second under load: a new authority is
// in the bundles a second before anything is issued by it.
func keyChange(l *lab) (any, error) {
	seconds, rate := 60, 1000.0
	if l.quick {
		seconds = 5
	}
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	authorities := []*certs.CA{certs.NewCA("first"), certs.NewCA("second")}
	turn := func() error { // issues by the last but one, and adds one
		n := len(authorities)
		var bundle [][]byte
		for _, a := range authorities[max(0, n-4):] {
			bundle = append(bundle, a.PEM)
		}
		issuer := authorities[n-2]
		server, client := issuer.Issue("office", time.Hour), issuer.Issue("gw-1", time.Hour)
		for name, text := range map[string][]byte{"ca.pem": bytes.Join(bundle, nil), "server.pem": server.Cert, "server.key": server.Key,
			"gw.pem": client.Cert, "gw.key": client.Key} {
			if err := certs.Put(l.dir, name, text); err != nil {
				return err
			}
		}
		authorities = append(authorities, certs.NewCA(fmt.Sprint(n)))
		return nil
	}
	if err := turn(); err != nil {
		return nil, err
	}
	file := func(name string) string { return filepath.Join(l.dir, name) }
	keys, err := tlskeys.Open(tlskeys.Files{Cert: file("server.pem"), Key: file("server.key"), CA: file("ca.pem")})
	if err != nil {
		return nil, err
	}
	k, err := collector.Start(collector.Config{Network: "tls", Address: "127.0.0.1:0", TLS: keys.Server(true)})
	if err != nil {
		return nil, err
	}
	defer k.Stop(true)
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 2, Lag: 10 * time.Millisecond, Work: time.Millisecond, Slots: 256})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	edge := fmt.Sprintf(`syslog {
  collector "office" {
    address     = %q
    transport   = "tls"
    ca          = "ca.pem"
    cert        = "gw.pem"
    key         = "gw.key"
    server_name = "office"
  }
  route "all" { to = ["office"] }
}
`, k.Addr)
	g, err := proc.Start(binary, l.dir, c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), edge)
	if err != nil {
		return nil, err
	}
	defer g.Kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	turns := make(chan error, 1)
	go func() {
		var failed error
		for range seconds {
			time.Sleep(time.Second)
			if err := turn(); err != nil {
				failed = err
			}
			if _, err := keys.Refresh(); err != nil {
				failed = err
			}
		}
		turns <- failed
	}()
	res, err := load.Run(ctx, load.Config{Addr: g.Addr, Phases: []load.Phase{{Rate: rate, For: time.Duration(seconds) * time.Second}}, Conns: 64, Groups: 1, Seed: l.seed, Prefix: "k-"})
	if err != nil {
		return nil, err
	}
	if err := <-turns; err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := g.Stop(10 * time.Second); err != nil {
		return nil, err
	}
	m := doneLine.FindStringSubmatch(g.Log())
	if m == nil {
		return nil, fmt.Errorf("the gateway told no account: %.2000s", g.Log())
	}
	made, _ := strconv.ParseUint(m[1], 10, 64)
	for range 500 {
		if k.Book.Summary().Distinct >= made {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s := k.Book.Summary()
	changes := bytes.Count([]byte(g.Log()), []byte("certificates changed"))
	_, _ = fmt.Fprintf(l.out, "%d changes in %d s at %g requests a second: %d records made, %d delivered, %d repeats, %d handshakes refused, %d requests not served, p99 %.2f ms\n",
		changes, seconds, rate, made, s.Distinct, s.Repeats, s.Refused, res.Planned-res.Outcomes[pgclient.Served], ms(res.Quantile(0.99)))
	switch {
	case s.Distinct != made || s.Missing > 0 || s.Invalid > 0:
		return s, fmt.Errorf("made %d, delivered %d, missing %d, invalid %d", made, s.Distinct, s.Missing, s.Invalid)
	case s.Refused > 0:
		return s, fmt.Errorf("%d handshakes refused", s.Refused)
	case changes < seconds/2:
		return s, fmt.Errorf("the gateway took only %d of %d changes", changes, seconds)
	}
	return s, nil
}

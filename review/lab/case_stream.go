package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stream"] = streamCase }

// streamCase: clients on poor links read values of 4 MiB, some 50,000 bytes a second and never pausing. The db machine is
// sound and goes on sending all the time. Each client is owed the whole answer.
func streamCase() (breaks []string) {
	const size, rate, clients = 4 << 20, 50_000, 3
	g := newGroup()
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(i * 7 >> 3)
	}
	var machines []*dbMachine
	for i := range 3 {
		m := &dbMachine{id: fmt.Sprintf("s-%d", i), zone: "akl-east", g: g, work: 100 * time.Millisecond, lsnOnReads: true, keyWindow: 2 * time.Second,
			big: map[string][]byte{"tile": value}, primary: i == 0}
		must(m.start(), "db machine")
		defer m.stop()
		machines = append(machines, m)
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	gw := startGateway(baseConfig("n1", freeAddr(), d, skimap(1)), nil, nil)
	gw.awaitReady(10 * time.Second)
	var mu sync.Mutex
	var done sync.WaitGroup
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			dialer := &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error { // a link that holds little
				var err error
				if e := raw.Control(func(fd uintptr) {
					if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10); err == nil {
						err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
					}
				}); e != nil {
					return e
				}
				return err
			}}
			c, err := dialWith(dialer, gw.addr)
			if err != nil {
				rec("client %d: %v", i, err)
				return
			}
			defer func() { _ = c.Close() }()
			perSecond := rate
			if !trouble {
				perSecond = 1 << 30
			}
			id := fmt.Sprintf("r%d", i)
			rec("client %d sends request %s, a read of a value of %d bytes, and reads %d bytes a second", i, id, size, perSecond)
			_, _ = c.Write(message(nil, 'Q', readText(id, "map-tiles", "kea-basin", 2500, 0, "", "tile"), "\x00"))
			got, types, start, err := readSlowly(c, perSecond, value)
			took := time.Since(start).Seconds()
			rec("client %d: request %s: %d bytes of the answer in %.1f s, whole messages %q, end: %v", i, id, got, took, types, err)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, fmt.Sprintf("request %s: its answer was cut off after %.1f s and %d of %d bytes: %v", id, took, got, size, err))
			}
		}()
	}
	done.Wait()
	gw.copyLog()
	return breaks
}

// readSlowly reads one answer at a steady rate, in pieces of a tenth of a second. Once 70 s have passed it reads the rest at once.
func readSlowly(c *pgClient, perSecond int, want []byte) (got int, types string, start time.Time, err error) {
	start = time.Now()
	buf := make([]byte, 0, len(want)+1024)
	piece := make([]byte, min(perSecond/10, 64<<10))
	rest := func() (complete bool) { // parses what has come
		types = ""
		for b := buf; len(b) >= 5; {
			n := int(binary.BigEndian.Uint32(b[1:])) + 1
			if len(b) < n {
				return false
			}
			types += string(b[0])
			if b[0] == 'Z' {
				return true
			}
			b = b[n:]
		}
		return false
	}
	for {
		_ = c.SetDeadline(time.Now().Add(15 * time.Second))
		n, e := c.r.Read(piece)
		buf = append(buf, piece[:n]...)
		if len(buf) < 1024 || len(buf) > len(want) {
			if rest() {
				if types != "TDCSSZ" && types != "TDCSZ" && types != "TDCZ" {
					return len(buf), types, start, errors.New("another answer")
				}
				return len(buf), types, start, nil
			}
		}
		if e != nil {
			if errors.Is(e, io.EOF) {
				e = errors.New("the gateway ended the connection")
			}
			rest()
			return len(buf), types, start, e
		}
		if since := time.Since(start); since < 70*time.Second {
			if ahead := time.Duration(float64(len(buf))/float64(perSecond)*float64(time.Second)) - since; ahead > 0 {
				time.Sleep(ahead)
			}
		}
	}
}

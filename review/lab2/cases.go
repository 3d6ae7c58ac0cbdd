package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// sessionRead: a REST client changes a setting and reads it again 250 ms later in the class whose reads must see what
// their session has written, while the replicas apply the log more slowly. A PostgreSQL client, which can say when the
// session's last commit was, reads the same value for comparison.
func sessionRead(s *site, trouble bool) {
	s.stamped, s.settings = false, heating()
	_, a, b := s.start(true)
	time.Sleep(time.Second)
	begin := time.Now()
	stale, checked, control := 0, 0, 0
	slowed := false
	for n := 1; time.Since(begin) < 14*time.Second; n++ {
		if trouble && !slowed && time.Since(begin) > time.Second {
			slowed = true
			s.rec.logf("TROUBLE: db-a and db-b apply the log 10 times more slowly (their thread was busy half of the time)")
			a.slow(0.2)
			b.slow(0.2)
		}
		room := fmt.Sprintf("room-%d", n%5)
		value := fmt.Sprintf("setpoint %d", n)
		url := "http://" + s.rest + "/v1/clusters/0/items/" + room
		code, _, h, err := rest("PUT", url, []byte(value), "Reachwind-Class", "control-change", "Reachwind-Session", room, "Reachwind-Deadline-Ms", "5000", "Reachwind-Request-Id", newID())
		s.rec.logf("client PUT %s %q: %d %v position %s", room, value, code, err, h.Get("Reachwind-Position"))
		if err != nil || code != 200 {
			continue
		}
		position := h.Get("Reachwind-Position")
		time.Sleep(250 * time.Millisecond)
		code, got, _, err := rest("GET", url, nil, "Reachwind-Class", "my-settings", "Reachwind-Session", room, "Reachwind-Deadline-Ms", "3000", "Reachwind-Request-Id", newID())
		s.rec.logf("client GET %s: %d %v %q, written %q", room, code, err, oneLine(got), value)
		if err != nil || code != 200 {
			continue
		}
		checked++
		if string(got) != value {
			stale++
			s.rec.logf("BROKEN: the session read %q after %q was committed and answered", got, value)
		}
		got, sql, err := pgAsk(s.listen, fmt.Sprintf("/* id=%s,c=my-settings,d=3000,cluster=0,after=%s */ SELECT doc FROM items WHERE id = '%s'", newID(), position, room))
		s.rec.logf("PostgreSQL client, after=%s: %s %v %q", position, sql, err, got)
		if err == nil && sql == "" && string(got) != value {
			control++
		}
	}
	s.rec.logf("of the PostgreSQL client's reads %d were stale", control)
	s.verdict(stale, checked, "a session's read over REST must see what the session has written")
}

// drainedAndGone: at a site where only a listed drain binds, a machine is listed as draining, and then as gone.
func drainedAndGone(s *site, trouble bool) {
	s.settings = skimap()
	s.settings["Rules"].(map[string]any)["DrainBindsAlone"] = true
	var mu sync.Mutex
	var drainVersion int64
	var toldAt time.Time // discovery has written that db-b drains
	broken, total, before := 0, 0, 0
	s.onTell = func(v int64, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if drainVersion > 0 && v >= drainVersion && toldAt.IsZero() {
			toldAt = at
			s.rec.logf("told: the gateway has been written that db-b drains")
		}
	}
	s.store.work = 40 * time.Millisecond
	_, _, b := s.start(false)
	b.onQuery = func(id, text string, first time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if toldAt.IsZero() {
			before++
			return
		}
		if since := first.Sub(toldAt); since > 300*time.Millisecond {
			broken++
			s.rec.logf("BROKEN: id=%s was sent to db-b %v after the gateway was told that it drains", id, since.Round(time.Millisecond))
		}
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for w := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			p, err := pgDial(s.listen)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if err != nil {
					p, err = pgDial(s.listen)
					continue
				}
				id := fmt.Sprintf("w%d-%d", w, n)
				var v []byte
				var code string
				v, code, err = p.query(fmt.Sprintf("/* id=%s,c=field-info,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'hut'", id))
				s.rec.logf("client %s: %q %s %v", id, v, code, err)
				mu.Lock()
				total++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.logf("TROUBLE: db-b begins to drain; 2 s later it is gone from the list")
		mu.Lock()
		s.mu.Lock()
		drainVersion = s.version + 1
		s.mu.Unlock()
		mu.Unlock()
		b.turnAway = true
		b.setState("draining")
		time.Sleep(2 * time.Second)
		b.setState("gone")
	}
	time.Sleep(6 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.logf("db-b got %d statements before it was told to drain", before)
	if trouble && (toldAt.IsZero() || before == 0) {
		fatal("the gateway was not told of the drain, or db-b was not in use before")
	}
	s.verdict(broken, total, "nothing new to a machine that was listed as draining, also once it is gone")
}

// otherProtocolValue: a device stores a note by PostgreSQL and reads it; then its connection ends, it reconnects by REST and
// reads again.
func otherProtocolValue(s *site, trouble bool) {
	s.settings = skimap()
	s.keyDrop = 2 * time.Second
	s.store.work = 20 * time.Millisecond
	s.start(true)
	time.Sleep(time.Second)
	wrong, checked := 0, 0
	for n, note := range []string{`\x6f70656e`, "lift 4 is open", `\xdeadbeef`, `\x`, "plain"} {
		item := fmt.Sprintf("note-%d", n)
		got, code, err := pgAsk(s.listen, fmt.Sprintf(`/* id=%s,c=map-edits,t=kea-basin,d=3000,k=k-%d,cluster=0 */ INSERT INTO items (id, doc) VALUES ('%s', '\x%s') RETURNING doc`, newID(), n, item, hex.EncodeToString([]byte(note))))
		s.rec.logf("device stores %q as %s: %q %s %v", note, item, got, code, err)
		if err != nil || code != "" {
			continue
		}
		time.Sleep(200 * time.Millisecond)
		ask := func() ([]byte, string, error) {
			return pgAsk(s.listen, fmt.Sprintf(`/* id=%s,c=my-notes,t=kea-basin,d=1500,cluster=0 */ SELECT doc FROM items WHERE id = '%s'`, newID(), item))
		}
		got, code, err = ask()
		s.rec.logf("device reads %s by PostgreSQL: %q %s %v", item, got, code, err)
		if trouble {
			s.rec.logf("TROUBLE: the device's connection ends; it reconnects by REST and asks again")
			var status int
			status, got, _, err = rest("GET", "http://"+s.rest+"/v1/clusters/0/items/"+item, nil, "Reachwind-Class", "my-notes", "Reachwind-Tenant", "kea-basin", "Reachwind-Session", item, "Reachwind-Deadline-Ms", "1500")
			if code = ""; status != 200 {
				code = strconv.Itoa(status)
			}
		} else {
			got, code, err = ask()
		}
		s.rec.logf("device asks again for %s: %q %s %v", item, got, code, err)
		if err != nil || code != "" {
			continue
		}
		checked++
		if string(got) != note {
			wrong++
			s.rec.logf("BROKEN: %s is %q at every db machine, the device was given %q", item, note, got)
		}
	}
	s.verdict(wrong, checked, "a served value is the one that a db machine gave")
}

// movedDiscovery: a new configuration moves discovery while discovery is crowded: it fails the gateway's next two calls after
// they have queued for 2 s. A machine begins to drain right after the new configuration.
func movedDiscovery(s *site, trouble bool) {
	s.settings = skimap()
	s.store.work = 40 * time.Millisecond
	_, _, b := s.start(false)
	var mu sync.Mutex
	var hupAt time.Time
	broken, total, after := 0, 0, 0
	b.onQuery = func(id, text string, first time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if hupAt.IsZero() {
			return
		}
		after++
		if since := first.Sub(hupAt); since > 4300*time.Millisecond {
			broken++
			s.rec.logf("BROKEN: id=%s was sent to db-b %v after SIGHUP, which drains since %v after it", id, since.Round(time.Millisecond), 200*time.Millisecond)
		}
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for w := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			p, err := pgDial(s.listen)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if err != nil {
					p, err = pgDial(s.listen)
					continue
				}
				id := fmt.Sprintf("w%d-%d", w, n)
				var v []byte
				var code string
				v, code, err = p.query(fmt.Sprintf("/* id=%s,c=field-info,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'hut'", id))
				s.rec.logf("client %s: %q %s %v", id, v, code, err)
				mu.Lock()
				total++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.crowd(2)
	}
	old := s.moveDiscovery()
	mu.Lock()
	hupAt = time.Now()
	mu.Unlock()
	s.rec.logf("SIGHUP, discovery is now at %s", s.discAddr)
	s.hup()
	time.Sleep(200 * time.Millisecond)
	b.turnAway = true
	b.setState("draining")
	time.Sleep(1300 * time.Millisecond)
	old()
	time.Sleep(8 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.logf("db-b got %d statements after SIGHUP", after)
	s.verdict(broken, total, "4 s after SIGHUP what discovery has to tell counts as told")
}

// longValue: clients read values of 1 MiB. One of five machines hangs for 8 s in the middle of sending one, and goes on.
func longValue(s *site, trouble bool) {
	s.settings = skimap()
	s.store.work = 20 * time.Millisecond
	s.add("db-c", false)
	s.add("db-d", false)
	s.start(false)
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte('a' + i/1024%26)
	}
	s.write("map", value, "")
	time.Sleep(time.Second)
	lost, checked := 0, 0
	for n := range 8 {
		if trouble && n == 4 {
			s.pauseNext(300<<10, 8*time.Second)
		}
		p, err := pgDial(s.listen)
		if err != nil {
			continue
		}
		began := time.Now()
		got, code, err := p.query(fmt.Sprintf("/* id=%s,c=field-info,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'map'", newID()))
		p.c.Close()
		s.rec.logf("client %d: %d bytes, code %q, %v, after %v", n, len(got), code, err, time.Since(began).Round(time.Millisecond))
		checked++
		if !bytes.Equal(got, value) {
			lost++
			s.rec.logf("BROKEN: client %d: the value was not passed on whole", n)
		}
	}
	time.Sleep(6 * time.Second) // what the machine still sends stands in the record
	s.verdict(lost, checked, "a value that has begun is passed on whole while its machine goes on sending")
}

// silentDiscovery: the gateway's open watch falls silent, and so does the call by which it opens it anew. A machine begins to
// drain right after the watch fell silent.
func silentDiscovery(s *site, trouble bool) {
	s.settings = skimap()
	s.store.work = 40 * time.Millisecond
	s.add("db-c", false)
	_, _, b := s.start(false)
	var mu sync.Mutex
	var silentAt time.Time
	broken, total, after := 0, 0, 0
	b.onQuery = func(id, text string, first time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if silentAt.IsZero() {
			return
		}
		after++
		if since := first.Sub(silentAt); since > 6300*time.Millisecond {
			broken++
			s.rec.logf("BROKEN: id=%s was sent to db-b %v after the watch fell silent; db-b drains since 100 ms after it", id, since.Round(time.Millisecond))
		}
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for w := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			p, err := pgDial(s.listen)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if err != nil {
					p, err = pgDial(s.listen)
					continue
				}
				id := fmt.Sprintf("w%d-%d", w, n)
				var v []byte
				var code string
				v, code, err = p.query(fmt.Sprintf("/* id=%s,c=field-info,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'hut'", id))
				s.rec.logf("client %s: %q %s %v", id, v, code, err)
				mu.Lock()
				total++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	silentAt = time.Now()
	mu.Unlock()
	if trouble {
		s.rec.logf("TROUBLE: discovery falls silent on the open watch, and on calls that come in the next 8 s")
		s.silence(8 * time.Second)
	}
	time.Sleep(100 * time.Millisecond)
	b.turnAway = true
	b.setState("draining")
	time.Sleep(12 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.logf("db-b got %d statements after the watch fell silent", after)
	s.verdict(broken, total, "what a silent watch misses counts as told 6 s after it fell silent")
}

// slowAtEnd: a client reads a value of 1 MiB from a slow machine, and the gateway gets SIGTERM meanwhile. The platform sends
// SIGKILL 12 s after SIGTERM, if the gateway has not ended.
func slowAtEnd(s *site, trouble bool) {
	s.settings = skimap()
	s.store.work = 20 * time.Millisecond
	s.start(false)
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte('a' + i/1024%26)
	}
	s.write("map", value, "")
	time.Sleep(time.Second)
	s.slowSend(16<<10, 100*time.Millisecond)
	p, err := pgDial(s.listen)
	if err != nil {
		fatal("%v", err)
	}
	if trouble {
		time.AfterFunc(time.Second, func() {
			s.rec.logf("TROUBLE: SIGTERM")
			s.signal(syscall.SIGTERM)
		})
	}
	began := time.Now()
	got, code, err := p.query(fmt.Sprintf("/* id=%s,c=field-info,t=kea-basin,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = 'map'", newID()))
	s.rec.logf("client: %d bytes, code %q, %v, after %v", len(got), code, err, time.Since(began).Round(time.Millisecond))
	lost := 0
	if !bytes.Equal(got, value) {
		lost = 1
	}
	s.verdict(lost, 1, "a value that began before SIGTERM is passed on whole, or is what SIGKILL finds")
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

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

// listing: REST clients read a listing of two pages. A writer changes item z, waits for the answer, and then changes item
// a to the same number: a later page that is no older than the first shows a z that is no older than the a of the first.
func listing(s *site, trouble bool) {
	s.stamped, s.settings = false, heating()
	_, a, _ := s.start(true)
	stop := make(chan struct{})
	var done sync.WaitGroup
	put := func(item string, n int) bool {
		code, _, _, err := rest("PUT", "http://"+s.rest+"/v1/clusters/0/items/"+item, []byte(strconv.Itoa(n)), "Reachwind-Class", "control-change", "Reachwind-Deadline-Ms", "5000")
		s.rec.logf("writer PUT %s %d: %d %v", item, n, code, err)
		return err == nil && code == 200
	}
	for _, item := range []string{"run-m", "run-z", "run-a"} {
		if !put(item, 0) {
			fatal("the first writes were not served")
		}
	}
	time.Sleep(500 * time.Millisecond)
	done.Add(1)
	go func() {
		defer done.Done()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			if put("run-z", n) {
				put("run-a", n)
			}
		}
	}()
	type page struct {
		Items []struct {
			ID    string
			Value []byte
		}
		Cursor string
	}
	var mu sync.Mutex
	older, checked := 0, 0
	for w := range 8 {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				var pages [2]page
				query, ok := "prefix=run-&limit=2", true
				for i := range pages {
					code, text, _, err := rest("GET", "http://"+s.rest+"/v1/clusters/0/items?"+query, nil, "Reachwind-Class", "my-settings", "Reachwind-Session", "dashboard", "Reachwind-Deadline-Ms", "3000")
					s.rec.logf("reader %d page %d: %d %v %s", w, i+1, code, err, oneLine(text))
					if ok = err == nil && code == 200 && json.Unmarshal(text, &pages[i]) == nil; !ok {
						break
					}
					query = "prefix=run-&limit=2&cursor=" + pages[0].Cursor
				}
				if !ok || len(pages[0].Items) != 2 || len(pages[1].Items) != 1 {
					continue
				}
				first, _ := strconv.Atoi(string(pages[0].Items[0].Value))
				second, _ := strconv.Atoi(string(pages[1].Items[0].Value))
				mu.Lock()
				checked++
				if second < first {
					older++
					s.rec.logf("BROKEN: reader %d: run-a is %d on page 1, run-z is %d on page 2: that page is older than the first", w, first, second)
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.rec.logf("TROUBLE: db-a, and db-p which is the primary and has nothing to apply, apply the log 10 times more slowly (the thread was busy half of the time)")
		a.slow(0.2)
	}
	time.Sleep(11 * time.Second)
	close(stop)
	done.Wait()
	s.verdict(older, checked, "a next page is no older than the first")
}

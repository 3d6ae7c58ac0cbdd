package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

type list struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discoveryService is a stand-in of discovery: the whole list, or a watch on changes.
type discoveryService struct {
	addr   string
	server *http.Server
	before func(call int, target string) (status int) // called with each call; a status other than 0 fails it

	mu         sync.Mutex
	generation int64
	entries    map[string]entry
	order      []string
	changedAt  map[string]int64
	changed    chan struct{}
	calls      int
	toldAt     map[int64]time.Time // when each version was first written to the gateway
}

func newDiscovery(machines []*dbMachine) *discoveryService {
	d := &discoveryService{generation: 1, entries: map[string]entry{}, changedAt: map[string]int64{}, changed: make(chan struct{}), toldAt: map[int64]time.Time{}}
	for _, m := range machines {
		d.order = append(d.order, m.id)
		d.entries[m.id] = entry{m.id, m.addr, m.zone, "m", m.cell, "ready", 1, 0}
		d.changedAt[m.id] = 1
	}
	return d
}

func (d *discoveryService) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.addr = l.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.handle)}
	go func() { _ = d.server.Serve(l) }()
	return nil
}

// set changes the lifecycle of a machine; "gone" is told among changes only.
func (d *discoveryService) set(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	e.Lifecycle = lifecycle
	d.entries[id] = e
	d.generation++
	d.changedAt[id] = d.generation
	close(d.changed)
	d.changed = make(chan struct{})
	rec("discovery: version %d, %s is %s", d.generation, id, lifecycle)
}

// restarted tells that a machine started again.
func (d *discoveryService) restarted(id string, atMs int64) {
	d.mu.Lock()
	e := d.entries[id]
	e.StartedAtMs = atMs
	d.entries[id] = e
	d.mu.Unlock()
	d.set(id, "ready")
}

func (d *discoveryService) whole() list {
	all := list{Generation: d.generation, Reset: true, Instances: []entry{}}
	for _, id := range d.order {
		if e := d.entries[id]; e.Lifecycle != "gone" {
			all.Instances = append(all.Instances, e)
		}
	}
	return all
}

func (d *discoveryService) handle(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	n := d.calls
	d.mu.Unlock()
	if d.before != nil {
		if status := d.before(n, r.URL.String()); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	index, err := strconv.ParseInt(r.FormValue("index"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	d.mu.Lock()
	for waiting := err == nil; waiting && d.generation <= index; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	answer := d.whole()
	if err == nil {
		answer = list{Generation: d.generation, Instances: []entry{}}
		for _, id := range d.order {
			if d.changedAt[id] > index {
				answer.Instances = append(answer.Instances, d.entries[id])
			}
		}
	}
	d.mu.Unlock()
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.toldAt[answer.Generation]; !ok {
		d.toldAt[answer.Generation] = time.Now()
		rec("discovery: call %d %s answered, version %d with %d entries", n, r.URL.String(), answer.Generation, len(answer.Instances))
	}
}

// told returns when a version, or a later one, was first written to the gateway.
func (d *discoveryService) told(version int64) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for v, t := range d.toldAt {
		if v >= version && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

package fleet

import (
	"encoding/json"
	"os"
	"sync/atomic"
	"time"
)

// Event is an act of this process, as the events file has it: one JSON object a line.
type Event struct {
	Name          string   `json:"name"`
	Epoch         uint64   `json:"epoch"`
	Number        uint64   `json:"n"`       // of this start, from 1
	MonoNs        int64    `json:"mono_ns"` // since this start
	WallNs        int64    `json:"wall_ns"` // Unix time, by this process's clock
	Kind          string   `json:"kind"`    // start, peer, verdict, paused, displaced, epoch, look, member, leave
	Peer          string   `json:"peer,omitempty"`
	PeerEpoch     uint64   `json:"peer_epoch,omitempty"`
	State         string   `json:"state,omitempty"`
	PreviousState string   `json:"was,omitempty"`
	Reasons       []string `json:"reasons,omitempty"`
	Member        string   `json:"member,omitempty"`
	For           int64    `json:"for_ns,omitempty"`
}

const (
	eventsMost  = 8 << 20 // bytes of the file; then it becomes FILE.old and a new one begins
	eventsQueue = 1024
)

// eventLog writes events from a goroutine of its own. A nil one does nothing.
type eventLog struct {
	path    string
	queue   chan Event
	done    chan struct{}
	Dropped atomic.Int64
}

func newEventLog(path string) (*eventLog, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	l := &eventLog{path: path, queue: make(chan Event, eventsQueue), done: make(chan struct{})}
	go l.run(f)
	return l, nil
}

func (l *eventLog) run(f *os.File) {
	defer close(l.done)
	size := int64(0)
	if s, err := f.Stat(); err == nil {
		size = s.Size()
	}
	for e := range l.queue {
		b, err := json.Marshal(e)
		if err != nil {
			continue
		}
		n, err := f.Write(append(b, '\n'))
		if err != nil {
			l.Dropped.Add(1)
		}
		if size += int64(n); size < eventsMost {
			continue
		}
		if os.Rename(l.path, l.path+".old") == nil {
			if next, err := os.OpenFile(l.path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600); err == nil {
				_ = f.Close()
				f, size = next, 0
			}
		}
	}
	_ = f.Close()
}

// put never blocks.
func (l *eventLog) put(e Event) {
	if l == nil {
		return
	}
	select {
	case l.queue <- e:
	default:
		l.Dropped.Add(1)
	}
}

// close writes what is left, for a moment.
func (l *eventLog) close() {
	if l == nil {
		return
	}
	close(l.queue)
	select {
	case <-l.done:
	case <-time.After(time.Second):
	}
}

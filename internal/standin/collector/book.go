package collector

import (
	"fmt"
	"maps"
	"sort"
	"strconv"
	"sync"

	"reachwind/internal/standin/rfc5424"
	"reachwind/internal/syslog"
)

// Book is what a collector has had. It may outlive collectors that come and go.
type Book struct {
	check bool // against the grammar too, which takes far longer

	mu      sync.Mutex
	streams map[string]*stream
	sum     Summary
	faults  []string
	numbers map[uint64]int // by a record's own number
	m       syslog.Message
	value   []byte
}

// stream is what came from one origin under one run of numbers.
type stream struct {
	seen  map[uint64]bool
	first uint64
	last  uint64
	told  uint64 // records told of as dropped, by number
}

// Summary is what a book adds up to.
type Summary struct {
	Messages  int               `json:"messages"`
	Repeats   int               `json:"repeats"` // the same number again
	Missing   uint64            `json:"missing"` // numbers that never came
	Told      uint64            `json:"told"`    // of those, told of in gap records
	Untold    uint64            `json:"unnumbered"`
	Invalid   int               `json:"invalid"`
	CutOff    int               `json:"cut_off"` // messages that did not come whole
	Refused   int               `json:"refused_handshakes"`
	Kinds     map[string]int    `json:"kinds"`
	Classes   map[string]int    `json:"classes"`  // requests by class, weighted
	Outcomes  map[string]int    `json:"outcomes"` // requests by outcome, weighted
	Drops     map[string]uint64 `json:"drops"`    // by cause
	Shortened int               `json:"shortened"`
	Longest   int               `json:"longest"`
	Streams   int               `json:"streams"`
	Distinct  uint64            `json:"distinct"` // numbers that came
	Last      uint64            `json:"last"`     // highest numbers, of all streams together
}

// NewBook returns an empty book.
func NewBook(check bool) *Book {
	return &Book{check: check, streams: map[string]*stream{}, numbers: map[uint64]int{}, sum: Summary{Kinds: map[string]int{},
		Classes: map[string]int{}, Outcomes: map[string]int{}, Drops: map[string]uint64{}}}
}

const faultsMost = 20

func (b *Book) fault(format string, args ...any) {
	b.sum.Invalid++
	if len(b.faults) < faultsMost {
		b.faults = append(b.faults, fmt.Sprintf(format, args...))
	}
}

func (b *Book) handshake(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum.Refused++
}

func (b *Book) cut(error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum.CutOff++
}

func (b *Book) find(id, name string) string {
	v, ok := b.m.Find(id, name)
	if !ok {
		return ""
	}
	b.value = syslog.AppendValue(b.value[:0], v)
	return string(b.value)
}

func (b *Book) number(id, name string) uint64 {
	n, _ := strconv.ParseUint(b.find(id, name), 10, 64)
	return n
}

// Take books one message.
func (b *Book) Take(msg []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum.Messages++
	b.sum.Longest = max(b.sum.Longest, len(msg))
	err := syslog.Parse(msg, &b.m)
	if b.check {
		if _, wrong := rfc5424.Check(msg); (wrong == nil) != (err == nil) {
			b.fault("the parser says %v, the grammar %v: %.200q", err, wrong, msg)
			return
		}
	}
	if err != nil {
		b.fault("%v: %.200q", err, msg)
		return
	}
	kind := string(b.m.MsgID)
	seq := b.number("meta", "sequenceId")
	if seq == 0 {
		b.fault("no sequenceId: %.200q", msg)
		return
	}
	origin := string(b.m.Hostname) + " " + string(b.m.AppName) + " " + string(b.m.ProcID)
	s := b.streams[origin]
	if s == nil {
		s = &stream{seen: map[uint64]bool{}, first: seq}
		b.streams[origin] = s
		b.sum.Streams++
	}
	if s.seen[seq] {
		b.sum.Repeats++
		return
	}
	s.seen[seq] = true
	s.first, s.last = min(s.first, seq), max(s.last, seq)
	b.sum.Kinds[kind]++
	b.numbers[b.number(kind, "n")]++
	if b.find(kind, "cut") != "" {
		b.sum.Shortened++
	}
	weight := max(1, int(b.number(kind, "weight")))
	switch kind {
	case "request":
		b.sum.Classes[b.find(kind, "class")] += weight
		b.sum.Outcomes[b.find(kind, "outcome")] += weight
	case "gap":
		cause, count := b.find(kind, "cause"), b.number(kind, "count")
		b.sum.Drops[cause] += count
		if first := b.number(kind, "first"); first > 0 {
			s.told += count
			s.first, s.last = min(s.first, first), max(s.last, b.number(kind, "last"))
		} else {
			b.sum.Untold += count
		}
	}
}

// Summary adds up what has come.
func (b *Book) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sum
	s.Kinds, s.Outcomes = maps.Clone(s.Kinds), maps.Clone(s.Outcomes)
	for _, one := range b.streams {
		s.Missing += one.last - one.first + 1 - uint64(len(one.seen))
		s.Told += one.told
		s.Distinct += uint64(len(one.seen))
		s.Last += one.last
	}
	return s
}

// Faults are the first messages that broke a rule.
func (b *Book) Faults() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.faults...)
}

// Numbers are the records' own numbers that have come, in order.
func (b *Book) Numbers() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []uint64
	for n := range b.numbers {
		all = append(all, n)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/council"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/rig"
)

// subscribers stand for many gateways: they report as gateways do, by one socket, and note what they are told.
type subscribers struct {
	net  *peers.Sockets
	stop chan struct{}
	mu   sync.Mutex
	told map[string]map[string]time.Time // by member that is draining, by gateway
}

func subscribe300(c *rig.Council, dir string, n int) (*subscribers, error) {
	path := filepath.Join(dir, "keys")
	if err := os.WriteFile(path, []byte(c.Keys()), 0o600); err != nil {
		return nil, err
	}
	keys, err := peers.ReadKeys(path)
	if err != nil {
		return nil, err
	}
	s := &subscribers{stop: make(chan struct{}), told: map[string]map[string]time.Time{}}
	if s.net, err = peers.Listen(peers.Config{Listen: "127.0.0.1:0", Keys: keys, BytesPerSecond: 64 << 20}, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case m := <-s.net.Received():
				var t subscribe.Update
				if len(m.Frame) < 2 || m.Frame[0] != subscribe.FrameUpdate || cbor.Unmarshal(m.Frame[1:], &t) != nil {
					continue
				}
				now := time.Now()
				s.mu.Lock()
				for _, d := range t.Drains {
					by := s.told[d.Member]
					if by == nil {
						by = map[string]time.Time{}
						s.told[d.Member] = by
					}
					if _, ok := by[t.Name]; !ok {
						by[t.Name] = now
					}
				}
				s.mu.Unlock()
			}
		}
	}()
	go func() {
		subs := make([]*subscribe.Subscription, n)
		for i := range subs {
			subs[i] = subscribe.New()
		}
		begin := time.Now()
		counts := &subscribe.Counts{}
		for {
			for i, sub := range subs { // spread over the second, as gateways are
				select {
				case <-s.stop:
					return
				case <-time.After(time.Second / time.Duration(n)):
				}
				counts.Classes[0].Requests++
				b := sub.NextReport(time.Since(begin), subscribe.Report{Name: fmt.Sprintf("sub-%03d", i), Zone: string(rune('a' + i%3)), Epoch: 1, Addr: s.net.AdvertisedAddr(), Version: "1", Counts: counts})
				for _, a := range c.Listens() {
					s.net.Send("", a, append([]byte{subscribe.FrameReport}, b...), false, false)
				}
			}
		}
	}()
	return s, nil
}

func (s *subscribers) close() {
	close(s.stop)
	s.net.Close()
}

// costFigures are a council's by the number of subscribers.
type costFigures struct {
	Subscribers          int
	GrantP50, GrantP99   time.Duration
	ToldP50, ToldP99     time.Duration // from asking for a member's permit until every subscriber was told
	HaltP50, HaltP99     time.Duration // from asking until every voter has it
	RestCPU, DecisionCPU time.Duration // a second and voter; a decision and voter
	Resident             int
	Writes               float64 // write calls a decision and voter
	Bytes                float64
	Recovery             time.Duration // of a voter that was killed, until it serves
	Entries              uint64
}

// councilCost measures a council of three by the number of its subscribers.
func councilCost(l *lab) (any, error) {
	sizes, times := []int{3, 100, 300}, 200
	if l.quick {
		sizes, times = []int{3, 30}, 30
	}
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	var all []costFigures
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SUBSCRIBERS\tGRANT p50\tp99\tALL TOLD p50\tp99\tHALTED p50\tp99\tCPU/s REST\tCPU/DECISION\tRESIDENT\tWRITES/DECISION\tBYTES/DECISION\tRECOVERY\tLOG")
	for _, n := range sizes {
		f, err := oneCouncil(l, binary, n, times)
		if err != nil {
			return all, fmt.Errorf("%d subscribers: %w", n, err)
		}
		all = append(all, *f)
		ms := func(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f MB\t%.1f\t%.0f\t%s\t%d\n", n, ms(f.GrantP50), ms(f.GrantP99), ms(f.ToldP50), ms(f.ToldP99), ms(f.HaltP50), ms(f.HaltP99),
			ms(f.RestCPU), ms(f.DecisionCPU), float64(f.Resident)/(1<<20), f.Writes, f.Bytes, ms(f.Recovery), f.Entries)
	}
	return all, w.Flush()
}

func oneCouncil(l *lab, binary string, n, times int) (*costFigures, error) {
	dir, err := os.MkdirTemp(l.dir, "council-")
	if err != nil {
		return nil, err
	}
	c, err := rig.NewCouncil(binary, dir, 3, l.seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	leader, err := c.Seated(time.Minute)
	if err != nil {
		return nil, err
	}
	subs, err := subscribe300(c, dir, n)
	if err != nil {
		return nil, err
	}
	defer subs.close()
	if _, err := rig.Until(time.Minute, func() error {
		st, err := c.State()
		if err == nil && len(st.Targets) < n {
			err = errors.New("not all subscribers are known")
		}
		return err
	}); err != nil {
		return nil, err
	}
	number := uint64(0)
	do := func(q council.CommandRequest) (r agreed.Result, err error) {
		number++
		q.Client, q.Number, q.Who = "cost", number, "cost"
		body, _ := json.Marshal(q)
		res, err := http.Post("http://"+leader.Admin+"/v1/command", "application/json", bytes.NewReader(body))
		if err != nil {
			return r, err
		}
		defer func() { _ = res.Body.Close() }()
		text, err := io.ReadAll(res.Body)
		if err == nil && res.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", res.StatusCode, text)
		}
		if err == nil {
			err = json.Unmarshal(text, &r)
		}
		if err == nil && !r.OK {
			err = errors.New(r.Refused)
		}
		return r, err
	}
	f := &costFigures{Subscribers: n}
	cpu := func() (sum time.Duration) {
		for _, s := range c.Seats {
			if k, err := s.P.Cost(); err == nil {
				sum += k.CPU
				f.Resident = max(f.Resident, k.Resident)
			}
		}
		return sum / time.Duration(len(c.Seats))
	}
	const rest = 5 * time.Second
	before := cpu()
	time.Sleep(rest)
	f.RestCPU = (cpu() - before) / (rest / time.Second)
	grant, told, halt := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	before = cpu()
	writes, written := diskOf(c)
	begin := time.Now()
	for i := range times {
		at := time.Now()
		r, err := do(council.CommandRequest{Op: "acquire", Target: fmt.Sprintf("gateway/none-%d", i), TermMs: 60000})
		if err != nil {
			return nil, err
		}
		_ = grant.RecordValue(time.Since(at).Microseconds())
		if _, err := do(council.CommandRequest{Op: "give_back", Target: r.Permit.Target, Fence: r.Permit.Fence}); err != nil {
			return nil, err
		}
	}
	spent := cpu() - before - time.Duration(float64(f.RestCPU)*time.Since(begin).Seconds())
	w2, b2 := diskOf(c)
	decisions := float64(2 * times)
	f.DecisionCPU = max(0, spent) / time.Duration(2*times)
	f.Writes, f.Bytes = (w2-writes)/decisions/3, (b2-written)/decisions/3
	for i := range times / 4 {
		member := fmt.Sprintf("m-%d", i)
		at := time.Now()
		r, err := do(council.CommandRequest{Op: "acquire", Target: "db/" + member, TermMs: 60000})
		if err != nil {
			return nil, err
		}
		if _, err := rig.Until(20*time.Second, func() error {
			subs.mu.Lock()
			defer subs.mu.Unlock()
			if k := len(subs.told[member]); k < n {
				return fmt.Errorf("%d of %d were told of %s", k, n, member)
			}
			return nil
		}); err != nil {
			return nil, err
		}
		subs.mu.Lock()
		last := at
		for _, t := range subs.told[member] {
			if t.After(last) {
				last = t
			}
		}
		subs.mu.Unlock()
		_ = told.RecordValue(last.Sub(at).Microseconds())
		if _, err := do(council.CommandRequest{Op: "give_back", Target: r.Permit.Target, Fence: r.Permit.Fence}); err != nil {
			return nil, err
		}
	}
	for i := range min(times/4, 30) {
		name := fmt.Sprint("r", i)
		plan := &agreed.Release{Name: name, Kind: "gateways", Command: []string{"true"}, TermMs: 60000, MaxTogether: 1, Steps: []agreed.Step{{Name: "all", Share: 1}}, HealthLimits: agreed.HealthLimits{Disabled: true}}
		if _, err := do(council.CommandRequest{Op: "plan", Release: plan}); err != nil {
			return nil, err
		}
		if _, err := do(council.CommandRequest{Op: "drive", Name: name, TermMs: 10000}); err != nil {
			return nil, err
		}
		at := time.Now()
		if _, err := do(council.CommandRequest{Op: "steer", Name: name, Steer: "halt"}); err != nil {
			return nil, err
		}
		for _, s := range c.Seats {
			for {
				st, err := s.Status()
				if err != nil {
					return nil, err
				}
				if k := len(st.Releases); k > 0 && func() bool {
					for _, r := range st.Releases {
						if r.Name == name {
							return r.State == agreed.Halted
						}
					}
					return false
				}() {
					break
				}
			}
		}
		_ = halt.RecordValue(time.Since(at).Microseconds())
	}
	q := func(h *hdrhistogram.Histogram, p float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
	}
	f.GrantP50, f.GrantP99, f.ToldP50, f.ToldP99, f.HaltP50, f.HaltP99 = q(grant, 50), q(grant, 99), q(told, 50), q(told, 99), q(halt, 50), q(halt, 99)
	for _, s := range c.Seats {
		if s != leader {
			s.Kill()
			at := time.Now()
			if err := s.Start(); err != nil {
				return nil, err
			}
			f.Recovery = time.Since(at)
			if st, err := s.Status(); err == nil {
				f.Entries = st.Index
			}
			break
		}
	}
	return f, nil
}

// diskOf is what all voters wrote so far: calls and bytes.
func diskOf(c *rig.Council) (calls, bytes float64) {
	for _, s := range c.Seats {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", s.P.Pid()))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			var n float64
			if _, err := fmt.Sscanf(line, "syscw: %f", &n); err == nil {
				calls += n
			}
			if _, err := fmt.Sscanf(line, "write_bytes: %f", &n); err == nil {
				bytes += n
			}
		}
	}
	return calls, bytes
}

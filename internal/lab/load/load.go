// Package load asks a gateway by an open loop: arrivals are planned ahead, do not
// wait for answers, and latency counts from the planned time, so that a gateway
// that stalls is charged for all that it kept waiting.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachwind/internal/standin/pgclient"
)

// Phase is a stretch of load of one rate.
type Phase struct {
	Rate float64 // requests a second
	For  time.Duration
}

// Kind is one kind of request.
type Kind struct {
	Class string
	Part  float64
	Wait  time.Duration
	Write bool
	Keyed bool
}

// SkiFields are the classes and parts of the ski fields' traffic.
var SkiFields = []Kind{{"map-tiles", 0.36, 2500 * time.Millisecond, false, false}, {"my-notes", 0.24, 1500 * time.Millisecond, false, false},
	{"field-info", 0.21, 3 * time.Second, false, false}, {"run-status", 0.03, 750 * time.Millisecond, false, false},
	{"map-edits", 0.16, 3 * time.Second, true, true}}

// Customers are the ski fields.
var Customers = []string{"kea-basin", "tussock-peak", "red-saddle"}

// Config is what a run is told.
type Config struct {
	Addr   string
	Addrs  []string // of gateways in place of Addr: a connection that one refuses is made to the next, until that is back
	Phases []Phase
	Conns  int // connections, each with one request at a time
	Kinds  []Kind
	Groups int
	Seed   uint64
	Prefix string // of request ids, which must be new at the gateway
}

// Result is what came of it.
type Result struct {
	Planned  int
	Outcomes [4]int // by pgclient's verdicts
	Unsent   int    // their time was up before a connection was free
	ByClass  map[string]*[4]int
	Latency  *hdrhistogram.Histogram // microseconds, of what was served, from the planned time
	Elapsed  time.Duration
}

func newResult() *Result {
	return &Result{ByClass: map[string]*[4]int{}, Latency: hdrhistogram.New(1, 60_000_000, 3)}
}

// Quantile is a latency that a part of the served requests did not exceed.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// Merge adds another result.
func (r *Result) Merge(o *Result) {
	r.Planned += o.Planned
	r.Unsent += o.Unsent
	for i, n := range o.Outcomes {
		r.Outcomes[i] += n
	}
	for c, n := range o.ByClass {
		if r.ByClass[c] == nil {
			r.ByClass[c] = new([4]int)
		}
		for i := range n {
			r.ByClass[c][i] += n[i]
		}
	}
	r.Latency.Merge(o.Latency)
	r.Elapsed += o.Elapsed
}

type job struct {
	at   time.Time
	q    pgclient.Request
	kind *Kind
}

// Run runs the load to its end, or until ctx ends.
func Run(ctx context.Context, c Config) (*Result, error) {
	if c.Conns < 1 || len(c.Phases) == 0 {
		return nil, errors.New("load: want connections and phases")
	}
	if c.Kinds == nil {
		c.Kinds = SkiFields
	}
	if len(c.Addrs) == 0 {
		c.Addrs = []string{c.Addr}
	}
	jobs := make(chan job, 1<<16)
	results := make([]*Result, c.Conns)
	var done sync.WaitGroup
	for i := range c.Conns {
		results[i] = newResult()
		done.Add(1)
		go func() {
			defer done.Done()
			work(c.Addrs, i, jobs, results[i])
		}()
	}
	begin := time.Now()
	planned := plan(ctx, c, begin, jobs)
	close(jobs)
	done.Wait()
	total := newResult()
	for _, r := range results {
		total.Merge(r)
	}
	total.Planned, total.Elapsed = planned, time.Since(begin)
	return total, nil
}

// plan hands out arrivals at their times. The gaps are drawn; a late wake-up delays no later arrival.
func plan(ctx context.Context, c Config, at time.Time, jobs chan<- job) int {
	r := rand.New(rand.NewPCG(c.Seed, 0x6c6f6164))
	n := 0
	for _, p := range c.Phases {
		end := at.Add(p.For)
		for {
			at = at.Add(time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second)))
			if at.After(end) {
				at = end
				break
			}
			if d := time.Until(at); d > 0 {
				time.Sleep(d)
			}
			if ctx.Err() != nil {
				return n
			}
			n++
			k := pick(r, c.Kinds)
			q := pgclient.Request{ID: fmt.Sprintf("%s%d", c.Prefix, n), Class: k.Class, Tenant: Customers[r.IntN(len(Customers))], Wait: k.Wait,
				Cluster: int64(r.IntN(max(1, c.Groups))), Item: fmt.Sprintf("item-%d", r.IntN(1000)), Write: k.Write}
			if k.Write {
				q.Value = "v"
			}
			if k.Keyed {
				q.Key = fmt.Sprintf("%sk%d", c.Prefix, n)
			}
			jobs <- job{at, q, k}
		}
	}
	return n
}

func pick(r *rand.Rand, kinds []Kind) *Kind {
	x := 0.0
	for i := range kinds {
		x += kinds[i].Part
	}
	x *= r.Float64()
	for i := range kinds {
		if x -= kinds[i].Part; x < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// awayMost is how long a connection stays with another gateway than its own. Were it to stay for good, one that is back
// from a restart would get nothing, and a release would never learn how the new version does.
const awayMost = time.Second

// work is one connection; its own gateway is the one at home.
func work(addrs []string, home int, jobs <-chan job, res *Result) {
	var conn *pgclient.Conn
	var away time.Time // since when it is with another, zero: it is not
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for j := range jobs {
		left := j.q.Wait - time.Since(j.at)
		if left <= 0 {
			res.Unsent++
			continue
		}
		j.q.Wait = left
		a := pgclient.Answer{Verdict: pgclient.Broken}
		var err error
		if conn != nil && !away.IsZero() && time.Since(away) > awayMost {
			conn.Close()
			conn = nil
		}
		for try := 0; try < 2; try++ {
			if conn == nil {
				away = time.Time{}
				for k := range addrs {
					if conn, err = pgclient.Dial(addrs[(home+k)%len(addrs)], left); err == nil {
						break
					}
					conn, away = nil, time.Now()
				}
				if err != nil {
					break
				}
			}
			if a, err = conn.Do(&j.q); err == nil {
				break
			}
			conn.Close()
			conn = nil
			if !errors.Is(err, pgclient.ErrStale) {
				break
			}
		}
		if err != nil {
			a.Verdict = pgclient.Broken
		}
		res.Outcomes[a.Verdict]++
		if res.ByClass[j.q.Class] == nil {
			res.ByClass[j.q.Class] = new([4]int)
		}
		res.ByClass[j.q.Class][a.Verdict]++
		if a.Verdict == pgclient.Served {
			_ = res.Latency.RecordValue(max(1, time.Since(j.at).Microseconds()))
		}
	}
}

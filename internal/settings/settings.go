// Package settings reads the settings object that the simulator's first
// message and a gateway's configuration both hold, and translates it for
// package decide. It is the only such translation in the tree.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"reachwind/decide"
)

// Settings are the settings as they come. Keys that are not named here are skipped.
type Settings struct {
	Allowed struct {
		MaxRetryAfterUs, IdleCloseUs, ConnectTimeoutUs     int64
		MayCancel, MayDuplicate, Peers, Probes, RetryAfter bool
		TryLimit                                           int
	}
	ClientHabits   struct{ MarksRetry bool }
	Discovery      string
	FailureDomains []string
	FamilyInfo     struct {
		AnswersStamped bool
		ClassBoundUs   []int64
		Consistency    []string
		CountedFromUs  int64
		ServerChecks   string
		SessionMarks   string
	}
	Feedback struct {
		How   string
		Names []string
	}
	Grades []struct {
		Name, Effect, KeyScope      string
		AimUs, DeadlineUs, WindowUs int64
		Value, LateValue            float64
	}
	Instances, Me  int
	OverShareWorth float64
	ResolutionUs   int64
	Rules          struct {
		ColdShare, FallMultiple                    float64
		ColdUs, OverloadForUs, StopSendingWithinUs int64
		DrainBindsAlone                            bool
	}
	Tenants []struct {
		Name               string
		Fraction, QuotaRps float64
	}
	Zone string
}

// Parse reads the settings.
func Parse(text []byte) (*Settings, error) {
	f := new(Settings)
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if n := len(f.Grades); n == 0 || len(f.FamilyInfo.Consistency) != n || len(f.FamilyInfo.ClassBoundUs) != n {
		return nil, fmt.Errorf("settings: %d Grades, %d Consistency and %d ClassBoundUs do not match",
			n, len(f.FamilyInfo.Consistency), len(f.FamilyInfo.ClassBoundUs))
	}
	return f, nil
}

var (
	effects = map[string]decide.Effect{
		"repeatable": decide.Repeatable, "by_key": decide.Keyed, "once": decide.Once}
	scopes = map[string]decide.Scope{
		"all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeGroup}
	needs = map[string]decide.Consistency{"any": decide.AnyData, "bounded": decide.Bounded,
		"session": decide.Session, "fresh": decide.Fresh, "write": decide.Write}
	checks = map[string]decide.StaleReadPolicy{"": decide.StaleReadAnswer,
		"off": decide.StaleReadAnswer, "refuse": decide.StaleReadRefuse, "wait": decide.StaleReadWait}
)

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Config translates the settings for the decision module.
func (f *Settings) Config() (*decide.Config, error) {
	a, fi := &f.Allowed, &f.FamilyInfo
	c := &decide.Config{
		// Where the number of gateways is missing, or less than this one's own says, there are at least so many.
		Self: max(f.Me, 0), Fronts: max(f.Instances, f.Me+1, 1), Zone: f.Zone, Resolution: us(f.ResolutionUs), OverShareFactor: f.OverShareWorth,
		MaxAttempts: a.TryLimit, MayCancel: a.MayCancel, MayDuplicate: a.MayDuplicate,
		MayProbe: a.Probes, ClientsMarkRetries: f.ClientHabits.MarksRetry,
		ListOnRequest: f.Discovery == "ask", RemembersSessions: fi.SessionMarks == "remembered",
		AnswersHavePosition: fi.AnswersStamped, SlowStartFraction: f.Rules.ColdShare, SlowStartTime: us(f.Rules.ColdUs),
		OverloadMultiple: f.Rules.FallMultiple, OverloadTime: us(f.Rules.OverloadForUs),
		UseUnlisted: f.Rules.DrainBindsAlone,
	}
	if a.RetryAfter {
		c.MaxRetryAfter = us(a.MaxRetryAfterUs)
	}
	var ok bool
	if c.StaleReads, ok = checks[fi.ServerChecks]; !ok {
		return nil, fmt.Errorf("settings: unknown ServerChecks %q", fi.ServerChecks)
	}
	for i := range f.Grades {
		g := &f.Grades[i]
		k := decide.Class{Name: g.Name, KeyWindow: us(g.WindowUs), LatencyTarget: us(g.AimUs), Deadline: us(g.DeadlineUs),
			Value: g.Value, LateValue: g.LateValue, Bound: us(fi.ClassBoundUs[i])}
		if k.Effect, ok = effects[g.Effect]; !ok {
			return nil, fmt.Errorf("settings: class %q: unknown Effect %q", g.Name, g.Effect)
		}
		if k.KeyScope, ok = scopes[g.KeyScope]; !ok && g.Effect == "by_key" {
			return nil, fmt.Errorf("settings: class %q: unknown KeyScope %q", g.Name, g.KeyScope)
		}
		if k.Consistency, ok = needs[fi.Consistency[i]]; !ok {
			return nil, fmt.Errorf("settings: class %q: unknown Consistency %q", g.Name, fi.Consistency[i])
		}
		c.Classes = append(c.Classes, k)
	}
	for _, t := range f.Tenants {
		c.Tenants = append(c.Tenants, decide.Tenant{Name: t.Name, Share: t.Fraction, Rate: t.QuotaRps})
	}
	return c, nil
}

// SetReportFigure translates named load figures; those it does not know are skipped.
// Positions are counted from zero, in seconds.
func SetReportFigure(r *decide.Report, zero time.Duration, key string, v float64) {
	switch key {
	case "x0":
		r.HasPosition, r.Position = true, zero+time.Duration(math.Floor(v*1e6))*time.Microsecond
	case "x1":
		r.HasRole, r.Role = true, decide.Replica
		if v == 1 {
			r.Role = decide.Primary
		}
	case "cpu_share":
		r.HasUtil, r.Util = true, v
	}
}

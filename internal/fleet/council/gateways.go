package council

import (
	"fmt"
	"strings"
	"time"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/subscribe"
)

// handleReport handles a gateway's periodic report and answers with the committed state as this voter knows it.
func (v *Voter) handleReport(b []byte) {
	r, ok := v.reports.HandleReport(v.now(), b)
	if !ok {
		return
	}
	id, _ := v.node.Leader()
	if len(v.gatewayAddrs) < subscribe.MaxGateways || v.gatewayAddrs[r.Name] != "" {
		v.gatewayAddrs[r.Name] = r.Addr
	}
	v.sendUpdate(r.Name, &subscribe.Update{Number: r.Number, Leader: v.voterName(id)})
}

// sendUpdate fills in the committed state as this voter knows it and sends it to a gateway.
func (v *Voter) sendUpdate(name string, told *subscribe.Update) {
	m := v.node.Machine
	target := "gateway/" + name
	told.Name = name
	told.Term, told.Index, told.Recall = v.node.Term(), m.Index(), m.ShouldRecall(target)
	if p, ok := m.Permit(target); ok && !p.Overdue {
		told.Fence, told.LeftMs = p.Fence, max(0, p.Until-m.Time())
	}
	told.Drains = v.drainingMembers()
	v.addZonesAway(told)
	v.net.Send(name, v.gatewayAddrs[name], append([]byte{subscribe.FrameUpdate}, told.Encode()...), false, false)
}

// drainingMembers returns the members with a permit to drain that is not overdue.
func (v *Voter) drainingMembers() (all []subscribe.MemberDrain) {
	m := v.node.Machine
	for _, p := range m.Permits() {
		if name, ok := strings.CutPrefix(p.Target, "db/"); ok && !p.Overdue && len(all) < subscribe.MaxDrainsPerUpdate {
			all = append(all, subscribe.MemberDrain{Member: name, LeftMs: max(0, p.Until-m.Time())})
		}
	}
	return all
}

// notifyGateways sends all gateways an update as soon as the draining members or the zones' shares change, so that they
// move work off those members in time.
func (v *Voter) notifyGateways() {
	names := ""
	var t subscribe.Update
	v.addZonesAway(&t)
	for _, z := range t.Zones {
		names += fmt.Sprintf("%s %.3f ", z.Zone, z.Away)
	}
	for _, d := range v.drainingMembers() {
		names += d.Member + " "
	}
	if names == v.lastNotified {
		return
	}
	v.lastNotified = names
	for name := range v.gatewayAddrs {
		v.sendUpdate(name, &subscribe.Update{})
	}
}

// handlePermitRequest proposes a gateway's command about its own permit and answers once it is decided. Only the leader
// answers.
func (v *Voter) handlePermitRequest(b []byte) {
	a, ok := subscribe.DecodePermitRequest(b)
	if _, leads := v.node.Leader(); !ok || !leads || len(v.pending) >= maxPendingCommands {
		return
	}
	if p, held := v.node.Machine.Permit("gateway/" + a.Name); a.Op == "leave" && held && !p.Overdue { // whoever holds it has already asked for it, and the gateway leaves under it
		g := subscribe.PermitAnswer{Number: a.Number, OK: true, Fence: p.Fence, Index: v.node.Machine.Index()}
		v.net.Send(a.Name, a.Addr, append([]byte{subscribe.FramePermitAnswer}, g.Encode()...), false, false)
		return
	}
	op := map[string]agreed.Op{"acquire": agreed.Acquire, "leave": agreed.Acquire, "renew": agreed.Renew, "give_back": agreed.GiveBack}[a.Op]
	if op == 0 {
		return
	}
	c := &agreed.Command{Op: op, Client: fmt.Sprintf("gateway/%s/%d", a.Name, a.Epoch), Number: a.Number, Actor: "gateway/" + a.Name, Target: "gateway/" + a.Name, Reason: a.Reason, Term: a.TermMs, Fence: a.Fence}
	t, err := v.node.Propose(v.now(), c)
	if err != nil {
		return
	}
	v.pending[t] = func(r agreed.Result, err error) {
		if err != nil {
			return
		}
		g := subscribe.PermitAnswer{Number: a.Number, OK: r.OK, Refused: r.Refused, Index: v.node.Machine.Index()}
		if r.Permit != nil {
			g.Fence = r.Permit.Fence
		}
		v.net.Send(a.Name, a.Addr, append([]byte{subscribe.FramePermitAnswer}, g.Encode()...), false, false)
	}
}

// proposePopulation has the leader propose, where they changed, which targets are present and which failed without a
// permit. It gives back permits that are overdue, or that a gateway held for itself, once the target is serving again,
// and proposes health figures when releases or rules need them.
func (v *Voter) proposePopulation() {
	_, leads := v.node.Leader()
	v.reports.SetLeading(v.now(), leads)
	if !leads || v.now() < v.nextPopulation {
		return
	}
	v.nextPopulation = v.now() + subscribe.ReportInterval
	m := v.node.Machine
	known := m.Targets()
	full := m.Format() >= agreed.ReleasesFormat
	if targets, changed := v.reports.Targets(v.now(), known, full); changed {
		v.propose(&agreed.Command{Op: agreed.SetTargets, Targets: targets})
	}
	for _, p := range m.Permits() {
		// A gateway that left under its own permit is back once a later start of it serves.
		own := p.Holder == p.Target && v.reports.ReturnedAfterDrain(p.Target)
		if (p.Overdue || own) && v.reports.Serving(v.now(), p.Target) {
			v.propose(&agreed.Command{Op: agreed.GiveBack, Target: p.Target, Fence: p.Fence, Reason: "seen back"})
		}
	}
	if full && (m.ReleaseActive() || m.Rules().MinInTimeFraction > 0) && v.now() >= v.nextHealth {
		v.nextHealth = v.now() + healthInterval
		if all := v.reports.TakeHealth(); len(all) > 0 {
			v.propose(&agreed.Command{Op: agreed.ReportHealth, Versions: all})
		}
	}
}

const healthInterval = 2 * time.Second

// propose proposes a command of this voter itself. Errors are ignored: the caller checks the state at its next turn and
// proposes again where needed.
func (v *Voter) propose(c *agreed.Command) {
	v.commandNumber++
	c.Actor, c.Client, c.Number = "council", fmt.Sprint("voter/", v.conf.Name, "/", v.store.Identity, "/", v.startedAt.UnixNano()), v.commandNumber
	_, _ = v.node.Propose(v.now(), c)
}

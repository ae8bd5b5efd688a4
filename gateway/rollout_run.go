package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/quota"
	"github.com/vanillaroad/vanillaroad/rollout"
)

const (
	// rolloutTick is the time between two decisions on a running roll-out.
	rolloutTick = 100 * time.Millisecond
	// judgesPerService is the number of daemons that judge a version by the evidence of all.
	judgesPerService = 2
	// writerRanks is the number of ranks that are distinguished when a status is written.
	writerRanks = 4
	// retryPerDaemon times the number of daemons is the least time between two reports to a judge
	// that does not know the order, so that it gets at most some hundred reports a second.
	retryPerDaemon = 2 * time.Millisecond
	// earlyVerdictTime is how long a verdict on an unknown order is kept. Daemons repeat it until
	// the store has the status.
	earlyVerdictTime = time.Minute
)

// rolloutEvidence is a daemon's evidence for the judges of a service, answered by rolloutReply.
type rolloutEvidence struct {
	Service  string           `msgpack:"s"`
	Evidence rollout.Evidence `msgpack:"e"`
	Barred   []string         `msgpack:"b,omitempty"` // versions, see serviceRollouts
}

// rolloutReply is what a judge knows of the order; its zero value if it doesn't know the order.
type rolloutReply struct {
	Known   bool           `msgpack:"k,omitempty"`
	Age     time.Duration  `msgpack:"a,omitempty"` // of the order
	Verdict rolloutVerdict `msgpack:"v,omitempty"`
	Barred  []string       `msgpack:"b,omitempty"` // versions, see serviceRollouts
}

// rolloutVerdict is a verdict against a version under roll-out, or the final state of its order that
// the store has.
type rolloutVerdict struct {
	Service  string        `msgpack:"s"`
	Target   string        `msgpack:"t"`
	Instance int64         `msgpack:"i,omitempty"` // of the order
	Reason   string        `msgpack:"r,omitempty"`
	State    rollout.State `msgpack:"f,omitempty"` // the stored one; empty while there is only the verdict
}

// earlyVerdict is a verdict on an order that this daemon doesn't know yet.
type earlyVerdict struct {
	rolloutVerdict
	from string
	at   time.Time
}

func (v rolloutVerdict) matches(o rollout.Order) bool {
	return v.Target == o.Target && v.Instance == o.Instance
}

func (v earlyVerdict) apply(o *roll) {
	if v.State.Final() {
		o.machine.ApplyStatus(v.State, v.Target)
		o.endSent = true
	} else {
		o.machine.MarkBad(v.Reason)
	}
	o.verdictSource, o.verdictSent, o.reason = v.from, true, v.Reason
}

// run decides on the roll-outs until ctx is done.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.tick(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
		}
	}
}

// tick decides on each roll-out once. It returns false if there is nothing to decide on until the
// orders or the targets change.
func (r *rollouts) tick(ctx context.Context) (active bool) {
	view, position, registered := r.g.members.view(), r.g.members.position(), r.g.members.count()
	now := time.Now()
	r.mu.Lock()
	defer r.unlockAndRecord()
	r.recheck(now)
	for service, v := range r.verdicts {
		if now.Sub(v.at) > earlyVerdictTime {
			delete(r.verdicts, service)
		}
	}
	for service, s := range r.services {
		if len(s.presumed) > 0 {
			r.presume(now, service, s)
		}
	}
	for service, all := range r.snapshot() {
		ranked := rankDaemons(view, service, writerRanks)
		for _, o := range all {
			rank := slices.Index(ranked, view.Self)
			if o.ended() {
				active = r.restoreState(ctx, now, o, rank) || active
				continue
			}
			active = true
			o.machine.SetDaemons(registered)
			o.machine.SetDither(position)
			_, hasTargets := r.services[service].versions[o.target()]
			o.machine.SetTargets(hasTargets)
			o.machine.SetJudge(rank >= 0 && rank < judgesPerService)
			r.decide(now, o)
			r.spare(now, service, o)
			r.tell(o)
			if !o.ended() {
				r.report(ctx, now, service, o, ranked)
				if o.writer != nil {
					r.callStore(ctx, o, o.writer.Next(now, o.decision, rank))
				}
			}
		}
	}
	for _, err := range r.refused {
		active = active || err == errNoConfiguration || err == errUnknownService
	}
	return active
}

// spare notes which targets of the version get no new work before the switch phase.
func (r *rollouts) spare(now time.Time, service string, o *roll) {
	if phase := o.decision.Phase; phase != rollout.Watch && phase != rollout.Overdue {
		o.spared = nil
		return
	}
	targets := r.g.fleet.TargetsOf(service, o.target())
	focus := o.machine.Focus(now, targets)
	o.spared = make(map[string]bool) // replaced, never modified: rules refer to it
	for _, id := range targets {
		if !slices.Contains(focus, id) {
			o.spared[id] = true
		}
	}
}

// rankDaemons returns the first n daemons in rank for a service.
func rankDaemons(view quota.View, service string, n int) (ranked []string) {
	active := slices.Clone(view.Active)
	for len(ranked) < n && len(active) > 0 {
		view.Active = active
		first := view.Grantor(service)
		i := slices.Index(active, first)
		if i < 0 {
			break // this daemon leaves
		}
		ranked, active = append(ranked, first), slices.Delete(active, i, i+1)
	}
	return ranked
}

// decide takes a decision and records what changed. The caller holds the lock.
func (r *rollouts) decide(now time.Time, o *roll) {
	previous := o.decision
	o.decision = o.machine.Decide(now)
	order, d := o.machine.Order(), o.decision
	if d.Reason != "" && !o.ended() {
		o.reason = d.Reason
	}
	requests, sent, _ := o.machine.Usage(now)
	if requests > 0 {
		metrics.GetOrRegisterGaugeFloat64(metricShareUsed, r.g.metrics).Update(float64(sent) / float64(requests))
	}
	if order.Presumed() && d.Phase == previous.Phase && d.Verdict == previous.Verdict {
		return
	}
	about := []event.Field{event.F("service", order.Service), event.F("target", order.Target), event.F("age", now.Sub(order.Created).Round(time.Millisecond).String())}
	if first := previous.Phase == ""; d.Verdict != previous.Verdict && !o.ended() && !(first && d.Verdict == rollout.Undecided) {
		source := o.verdictSource
		if source == "" {
			source = r.g.members.self.ID
		}
		r.record(event.RolloutJudged, append(slices.Clone(about), event.F("verdict", string(d.Verdict)), event.F("reason", d.Reason), event.F("member", source))...)
	}
	if d.Phase == previous.Phase {
		return
	}
	about = append(about, event.F("reason", o.reason), event.F("little_evidence", strconv.FormatBool(d.LittleEvidence)),
		event.F("requests", strconv.Itoa(requests)), event.F("sent", strconv.Itoa(sent)))
	if !o.ended() {
		r.record(event.RolloutPhase, append(about, event.F("phase", string(d.Phase)))...)
		return
	}
	o.oldUntil = now.Add(oldVersionGrace)
	o.machine.DropEvidence()
	state := rollout.Completed
	if d.Verdict == rollout.Bad {
		state = rollout.RolledBack
	}
	r.record(event.RolloutEnded, append(about, event.F("state", string(state)))...)
}

// tell broadcasts a verdict of this daemon against a version.
func (r *rollouts) tell(o *roll) {
	if o.decision.Verdict == rollout.Bad && !o.verdictSent && !o.ended() {
		o.verdictSent = true
		verdict := o.verdict()
		go r.g.peers.sendEverywhere(kindRolloutVerdict, verdict)
	}
}

// verdict returns the verdict against the version.
func (o *roll) verdict() rolloutVerdict {
	order := o.machine.Order()
	return rolloutVerdict{Service: order.Service, Target: order.Target, Instance: order.Instance, Reason: o.reason}
}

// openVerdicts returns the verdicts that the store doesn't have yet, for the load reports.
func (r *rollouts) openVerdicts() (out []rolloutVerdict) {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		for _, o := range s.all() {
			if o.decision.Verdict == rollout.Bad && !o.ended() {
				out = append(out, o.verdict())
			}
		}
	}
	slices.SortFunc(out, func(a, b rolloutVerdict) int {
		return strings.Compare(a.Service+"\x00"+a.Target, b.Service+"\x00"+b.Target)
	})
	return out
}

// report sends this daemon's evidence to the judges if that is due. A new judge gets all of it. A
// daemon that hears no other one, as it has no entry yet, sends it to those that have run longest: any
// of them answers with the age of the order and the verdict.
func (r *rollouts) report(ctx context.Context, now time.Time, service string, o *roll, ranked []string) {
	judges := slices.Clone(ranked[:min(judgesPerService, len(ranked))])
	addresses := make(map[string]string) // of the judges
	for _, judge := range judges {
		if address, ok := r.g.members.address(judge); ok {
			addresses[judge] = address
		}
	}
	if len(judges) < judgesPerService {
		for _, address := range r.g.members.mostExperienced(judgesPerService) {
			addresses[address] = address
		}
	}
	names := strings.Join(judges, " ")
	retry := max(r.settings.RollbackWithin/10, time.Duration(r.g.members.count())*retryPerDaemon)
	if !o.machine.ReportDue(now) && (names == o.judges && !o.reportFailed || now.Sub(o.calledAt) < retry) {
		return
	}
	o.judges, o.calledAt, o.reportFailed = names, now, false
	message := rolloutEvidence{Service: service, Evidence: o.machine.Own(), Barred: r.services[service].barredVersions()}
	for judge, address := range addresses {
		go r.send(ctx, judge, address, message, o)
	}
}

// send sends evidence to a judge and applies its answer.
func (r *rollouts) send(ctx context.Context, judge, address string, message rolloutEvidence, o *roll) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply rolloutReply
	err := r.g.peers.transport.Call(ctx, address, kindRolloutEvidence, message, &reply)
	if err != nil {
		r.g.peers.countLost(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !reply.Known {
		o.reportFailed = true // the judge doesn't know the order yet, or the message was lost
		return
	}
	order := o.machine.Order()
	if created := time.Now().Add(-reply.Age); !order.Presumed() && created.Before(order.Created) {
		order.Created = created
		o.machine.UpdateOrder(order)
	}
	r.services[order.Service].addBarred(o, reply.Barred)
	if reply.Verdict.Target != "" {
		r.applyVerdict(judge, reply.Verdict)
	}
}

// handleEvidence takes the evidence of another daemon.
func (r *rollouts) handleEvidence(from peer.Identity, message rolloutEvidence) rolloutReply {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.services[message.Service].of(message.Evidence.Target)
	if o == nil || o.machine.Order().Instance != message.Evidence.Instance {
		return rolloutReply{}
	}
	o.machine.Merge(now, from.ID, from.Incarnation, message.Evidence)
	s := r.services[message.Service]
	s.addBarred(o, message.Barred)
	reply := rolloutReply{Known: true, Age: now.Sub(o.machine.Order().Created), Barred: s.barredVersions()}
	if o.decision.Verdict == rollout.Bad || o.ended() {
		reply.Verdict = o.verdict()
		reply.Verdict.State = o.storedState()
	}
	return reply
}

func (p *peers) handleRolloutEvidence(_ context.Context, from peer.Identity, e rolloutEvidence) (any, error) {
	return p.g.rollouts.handleEvidence(from, e), nil
}

func (p *peers) handleRolloutVerdict(_ context.Context, from peer.Identity, v rolloutVerdict) (any, error) {
	p.g.rollouts.handleVerdicts(from.ID, v)
	return nil, nil
}

// storedState returns the final state that the store has, empty if it has none.
func (o *roll) storedState() rollout.State {
	switch {
	case !o.ended():
		return ""
	case o.decision.Verdict == rollout.Bad:
		return rollout.RolledBack
	}
	return rollout.Completed
}

// handleVerdicts applies verdicts of another daemon.
func (r *rollouts) handleVerdicts(from string, verdicts ...rolloutVerdict) {
	if r == nil || len(verdicts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range verdicts {
		r.applyVerdict(from, v)
	}
	r.wakeUp()
}

// applyVerdict applies a verdict of another daemon. The caller holds the lock.
func (r *rollouts) applyVerdict(from string, v rolloutVerdict) {
	early := earlyVerdict{v, from, time.Now()}
	s := r.services[v.Service]
	o := s.of(v.Target)
	switch {
	case o == nil || o.machine.Order().Presumed() && v.Instance != 0:
		known, ok := r.verdicts[v.Service]
		if !ok || v.Instance > known.Instance || v.Instance == known.Instance && !known.State.Final() {
			r.verdicts[v.Service] = early // the order is on its way
		}
		if o != nil && !v.State.Final() {
			o.machine.MarkBad(v.Reason)
			o.verdictSent, o.verdictSource, o.reason = true, from, v.Reason
		}
	case v.matches(o.machine.Order()) && !o.ended():
		if o.decision.Verdict != rollout.Bad || v.State.Final() {
			early.apply(o)
		}
	}
}

// position returns the place of this daemon among all registered ones, from 0 to below 1.
func (m *members) position() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	others := m.list.Others()
	for _, o := range others {
		if o.ID < m.self.ID {
			before++
		}
	}
	return float64(before) / float64(len(others)+1)
}

// count returns the number of registered daemons, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.list.Others()) + 1
}

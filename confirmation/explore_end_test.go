package confirmation

import "time"

// maxRestarts is the number of restarts in one simulation after which daemons
// restart only as part of a planned stop.
const maxRestarts = 4

// restart starts a new incarnation of daemon i without records. The daemon gets
// the shard's assignment later, from updateAssignment. After maxRestarts
// restarts, or without faults, only a daemon that has handed over restarts.
func (s *simulation) restart(i int) {
	n := s.nodes[i]
	planned := n.replica.leaving && n.replica.CanStop(true)
	if (s.restarts >= maxRestarts || s.faultFree) && !planned {
		return
	}
	s.restarts++
	if !s.faults.sameIncarnation {
		n.incarnation++
	}
	s.logf("%s restarts", s.ref(i).ID)
	s.startReplica(i, n.replica.limits)
	if s.faults.sameIncarnation {
		s.step(i, Assigned{s.shard})
	}
}

// proposeReplacement sometimes proposes a new pair for the shard, like a daemon
// whose request was answered by neither daemon of the pair.
func (s *simulation) proposeReplacement() {
	if s.rng.IntN(4) > 0 {
		return
	}
	i := s.rng.IntN(len(s.nodes))
	epoch := s.nodes[i].replica.shard.Epoch
	s.proposals = append(s.proposals, Shard{Epoch: epoch + 1, First: s.ref(i), Floor: epoch + 1})
}

// quiesce lets all pending work finish without new events.
func (s *simulation) quiesce() {
	for range 200 {
		s.now = s.now.Add(30 * time.Millisecond)
		for i := range s.nodes {
			s.step(i, Tick{})
			s.updateAssignment(i)
			s.reportLost(i)
			if s.nodes[i].replica.leaving && s.nodes[i].replica.CanStop(true) {
				s.restart(i)
			}
		}
		s.applyProposal()
		for range 50 {
			s.deliver()
		}
		for len(s.calls) > 0 {
			s.advanceCall()
		}
	}
}

// askAllDaemons looks a key up at every daemon.
func (s *simulation) askAllDaemons(key string) {
	for i := range s.nodes {
		s.token++
		s.tokenKeys[s.token] = key
		s.step(i, Ask{Token: s.token, Request: Request{Key: key}, LookupOnly: true})
		s.now = s.now.Add(simLimits.CopyWait)
		s.step(i, Tick{})
	}
}

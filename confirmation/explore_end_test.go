package confirmation

import "time"

const simCrashes = 4

// crash ends a run; the daemon comes back empty and learns of nothing by itself.
func (w *world) crash(i int) {
	n := w.nodes[i]
	planned := n.replica.leaving && n.replica.Free(true)
	if (w.crashes >= simCrashes || w.calm) && !planned {
		return
	}
	w.crashes++
	if !w.faults.sameIncarnation {
		n.inc++
	}
	w.note("%s restarts", w.ref(i).ID)
	w.begin(i, n.replica.limits)
	if w.faults.sameIncarnation {
		w.step(i, Assigned{w.shard})
	}
}

// replaceAll is what an asking daemon does when nobody acts for a shard.
func (w *world) replaceAll() {
	if w.rnd.IntN(4) > 0 {
		return
	}
	i := w.rnd.IntN(len(w.nodes))
	seen := w.nodes[i].replica.shard.Epoch
	w.proposals = append(w.proposals, Shard{Epoch: seen + 1, First: w.ref(i), Floor: seen + 1})
}

// settle lets everything under way come to its end, without new events.
func (w *world) settle() {
	for range 200 {
		w.now = w.now.Add(30 * time.Millisecond)
		for i := range w.nodes {
			w.step(i, Tick{})
			w.tell(i)
			w.lost(i)
			if w.nodes[i].replica.leaving && w.nodes[i].replica.Free(true) {
				w.crash(i)
			}
		}
		w.write()
		for range 50 {
			w.deliver()
		}
		for len(w.calls) > 0 {
			w.target()
		}
	}
}

// askOwners asks everyone for a key, as an asking daemon would in the end.
func (w *world) askOwners(key string) {
	for i := range w.nodes {
		w.token++
		w.asked[w.token] = key
		w.step(i, Ask{Token: w.token, Request: Request{Key: key}, LookupOnly: true})
		w.now = w.now.Add(simLimits.CopyWait)
		w.step(i, Tick{})
	}
}

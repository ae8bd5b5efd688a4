package exchange

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// samePlaceShare is the largest share of the daemons that a caller is directed to which are in
// its own place. They are nearer, and the others serve it if the place is lost.
const samePlaceShare = 0.5

// SelectForCaller returns the daemons that a caller in a place is directed to: all of list, or
// limit of them if there are more. Different callers get different ones, so that all daemons
// get callers, and a caller gets the same ones as long as they are in the list.
func SelectForCaller(list []Member, caller, place string, limit int) []Member {
	if len(list) <= limit {
		return list
	}
	type ranked struct {
		Member
		rank uint64
	}
	var near, far []ranked
	for _, m := range list {
		r := ranked{m, xxhash.Sum64String(caller + "\x00" + m.ID)}
		if m.Place == place {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	byRank := func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }
	slices.SortFunc(near, byRank)
	slices.SortFunc(far, byRank)
	n := min(len(near), max(int(samePlaceShare*float64(limit)), limit-len(far)))
	chosen := append(near[:n:n], far[:limit-n]...)
	out := make([]Member, 0, limit)
	for _, r := range chosen {
		out = append(out, r.Member)
	}
	sortByID(out)
	return out
}

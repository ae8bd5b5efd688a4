package rollout

import "math"

// table counts, for one route and slice, how many responses of the new version were bad and how
// many of both versions were.
type table struct {
	newBad, newAll int
	oldBad, oldAll int
}

func (t table) plus(o table) table {
	return table{t.newBad + o.newBad, t.newAll + o.newAll, t.oldBad + o.oldBad, t.oldAll + o.oldAll}
}

// bounds returns the least and the greatest number of bad responses that can be the new version's,
// given the number of bad ones of both versions.
func (t table) bounds() (low, high int) {
	bad := t.newBad + t.oldBad
	return max(0, bad-t.oldAll), min(t.newAll, bad)
}

// logWeights returns, for each possible number of bad responses of the new version, the logarithm
// of its hypergeometric weight relative to the least number.
func (t table) logWeights() (low int, weights []float64) {
	low, high := t.bounds()
	bad := t.newBad + t.oldBad
	weights = make([]float64, high-low+1)
	for k := low; k < high; k++ {
		up := float64(t.newAll-k) * float64(bad-k)
		down := float64(k+1) * float64(t.oldAll-bad+k+1)
		weights[k+1-low] = weights[k-low] + math.Log(up) - math.Log(down)
	}
	return low, weights
}

// logSum returns the logarithm of the sum of weights × odds^k.
func logSum(low int, weights []float64, logOdds float64) float64 {
	highest := math.Inf(-1)
	for i, w := range weights {
		highest = max(highest, w+float64(low+i)*logOdds)
	}
	sum := 0.0
	for i, w := range weights {
		sum += math.Exp(w + float64(low+i)*logOdds - highest)
	}
	return highest + math.Log(sum)
}

// logLikelihoodRatios returns, for each odds ratio, the logarithm of how much likelier the table
// is if the odds of a bad response of the new version are odds times those of the old one than
// if they are null times those, given the total of bad responses. Under any odds ratio of at most
// null, the expected value of the likelihood ratio is at most 1.
func (t table) logLikelihoodRatios(null float64, odds []float64) []float64 {
	ratios := make([]float64, len(odds))
	if low, high := t.bounds(); low == high {
		return ratios // nothing to learn: no bad response, all bad, or one version only
	}
	low, weights := t.logWeights()
	base := logSum(low, weights, math.Log(null))
	for i, o := range odds {
		ratios[i] = float64(t.newBad)*(math.Log(o)-math.Log(null)) + base - logSum(low, weights, math.Log(o))
	}
	return ratios
}

// tail returns the probability that the new version has at least as many of the bad responses of all
// tables together as it has, given the number of bad ones in each table, if its odds of a bad response
// are null times those of the old one.
func tail(tables []table, null float64) float64 {
	least, have := 0, 0
	sum := []float64{1} // probabilities of least, least+1, ... bad responses of the new version
	for _, t := range tables {
		low, weights := t.logWeights()
		total := logSum(low, weights, math.Log(null))
		next := make([]float64, len(sum)+len(weights)-1)
		for i, w := range weights {
			p := math.Exp(w + float64(low+i)*math.Log(null) - total)
			for n, q := range sum {
				next[n+i] += p * q
			}
		}
		least, have, sum = least+low, have+t.newBad, next
	}
	p := 0.0
	for _, q := range sum[have-least:] {
		p += q
	}
	return p
}

package routing

// BoundedLoad drops candidates whose load exceeds the mean by a factor and a slack,
// so that a cached prefix that many prompts share does not overload one target.
type BoundedLoad struct {
	Factor float64
	Slack  float64 // in loads, see Candidate.Load
}

// Balance implements Balancer.
func (b BoundedLoad) Balance(candidates []Candidate) []Candidate {
	var sum float64
	for i := range candidates {
		sum += candidates[i].Load()
	}
	limit := b.Factor*sum/float64(len(candidates)) + b.Slack
	kept := candidates[:0]
	for _, c := range candidates {
		if c.Load() <= limit {
			kept = append(kept, c)
		}
	}
	return kept
}

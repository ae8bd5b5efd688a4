package routing

// BoundedLoad drops candidates whose load exceeds Factor times the mean load plus Slack,
// so that a cached prefix that many prompts share does not overload one target.
type BoundedLoad struct {
	Factor float64
	Slack  float64 // added to the limit, in units of Candidate.Load
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

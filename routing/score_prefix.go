package routing

// CachedPrefix prefers targets whose cache holds a longer prefix of the prompt.
type CachedPrefix struct{}

// Score implements Scorer.
func (CachedPrefix) Score(r *Request, c *Candidate) float64 {
	if len(r.Blocks) == 0 {
		return 0
	}
	return float64(c.CachedBlocks) / float64(len(r.Blocks))
}

package allowance

// Cumulative is the allowance of one daemon for sends to a version under roll-out. The total of
// sends stays within ratio × requests + slack, counted since the allowance was made. It is not
// safe for concurrent use.
type Cumulative struct {
	requests, spent float64
}

// Package load plans an open load of generations and confirmations, sends it to
// a running site or straight to its targets, and measures what callers saw. It
// starts no processes.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Shape describes a load. The same shape gives the same plan.
type Shape struct {
	Seed     uint64
	Duration time.Duration // arrivals stop after it
	Rate     float64       // requests a second, Poisson
	// ConfirmationShare is the part of requests that are confirmations, 0 to 1.
	ConfirmationShare float64
	// Workspaces share the load unevenly: the n-th gets 1/n of the first's.
	Workspaces []string
	// MedianTokens is the median length of an ordinary answer.
	MedianTokens int64
	// LongShare of the generations are long: LongMin to LongMax tokens.
	LongShare        float64
	LongMin, LongMax int64
	// Prefixes is the number of shared prompt prefixes a workspace has, and
	// PrefixChars the length of each.
	Prefixes, PrefixChars int
}

// DefaultShape returns a small load in which minutes are scaled to seconds.
func DefaultShape() Shape {
	return Shape{
		Seed: 1, Duration: 20 * time.Second, Rate: 20, ConfirmationShare: 0.3,
		Workspaces: []string{"fair", "school"}, MedianTokens: 40,
		LongShare: 0.06, LongMin: 150, LongMax: 600, Prefixes: 3, PrefixChars: 4096,
	}
}

// Kind tells a generation from a confirmation.
type Kind int

// Kinds of requests.
const (
	Generation Kind = iota
	Confirmation
)

// PlannedRequest is one planned request.
type PlannedRequest struct {
	ID        string
	Offset    time.Duration // after the start of the load
	Kind      Kind
	Workspace string
	Prompt    string // of a generation
	MaxTokens int64
	Body      string // of a confirmation
}

// lengthLogStdDev is the standard deviation of the logarithm of ordinary lengths.
const lengthLogStdDev = 0.7

// minTokens is the shortest answer planned.
const minTokens = 4

// Plan returns the requests of a shape in order of arrival. name is part of
// every id and prompt, so that two plans of one shape share no cached prefix.
func Plan(s Shape, name string) []PlannedRequest {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	var out []PlannedRequest
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Duration {
			return out
		}
		out = append(out, s.plannedRequest(random, name, len(out), at))
	}
}

func (s Shape) plannedRequest(random *rand.Rand, name string, n int, at time.Duration) PlannedRequest {
	req := PlannedRequest{ID: fmt.Sprintf("%s-%d-%d", name, s.Seed, n), Offset: at, Workspace: s.Workspaces[zipfIndex(random, len(s.Workspaces))]}
	if random.Float64() < s.ConfirmationShare {
		req.Kind, req.Body = Confirmation, "stand "+req.ID
		return req
	}
	req.MaxTokens = s.length(random)
	req.Prompt = s.prefix(name, req.Workspace, zipfIndex(random, s.Prefixes)) + "Request " + req.ID
	return req
}

// zipfIndex draws 0 to n-1, each index i with a weight of 1/(i+1).
func zipfIndex(random *rand.Rand, n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	remaining := random.Float64() * total
	for i := range n {
		remaining -= 1 / float64(i+1)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// length draws a log-normal length, or for LongShare a log-uniform long one.
func (s Shape) length(random *rand.Rand) int64 {
	if random.Float64() < s.LongShare {
		logRange := math.Log(float64(s.LongMax) / float64(s.LongMin))
		return int64(float64(s.LongMin) * math.Exp(random.Float64()*logRange))
	}
	tokens := int64(float64(s.MedianTokens) * math.Exp(random.NormFloat64()*lengthLogStdDev))
	return min(max(tokens, minTokens), s.LongMin)
}

func (s Shape) prefix(name, workspace string, n int) string {
	line := fmt.Sprintf("[%s %s %d] consignment history. ", name, workspace, n)
	return strings.Repeat(line, s.PrefixChars/len(line)+1)[:s.PrefixChars]
}

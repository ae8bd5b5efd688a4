// Package load plans an open-loop load of generations and confirmations, sends it
// to a running site or straight to its targets, and measures the results that
// callers receive. It starts no processes.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Shape describes a load. Equal shapes have equal plans.
type Shape struct {
	Seed     uint64
	Duration time.Duration // time during which requests arrive
	Rate     float64       // mean requests per second of Poisson arrivals
	// ConfirmationShare is the share of requests that are confirmations, 0 to 1.
	ConfirmationShare float64
	// Workspaces share the load by Zipf's law: the n-th sends 1/n as many requests as
	// the first.
	Workspaces []string
	// MedianTokens is the median length of an ordinary answer, in tokens.
	MedianTokens int64
	// LongShare is the share of generations that are long, 0 to 1. These have LongMin
	// to LongMax tokens.
	LongShare        float64
	LongMin, LongMax int64
	// Prefixes is the number of shared prompt prefixes per workspace, and PrefixChars
	// the length of each in characters.
	Prefixes, PrefixChars int
}

// DefaultShape returns a small load whose times are scaled down from minutes to
// seconds.
func DefaultShape() Shape {
	return Shape{
		Seed: 1, Duration: 20 * time.Second, Rate: 20, ConfirmationShare: 0.3,
		Workspaces: []string{"fair", "school"}, MedianTokens: 40,
		LongShare: 0.06, LongMin: 150, LongMax: 600, Prefixes: 3, PrefixChars: 4096,
	}
}

// Kind is the kind of a planned request.
type Kind int

// Kinds of requests.
const (
	Generation Kind = iota
	Confirmation
)

// PlannedRequest is one request of a plan.
type PlannedRequest struct {
	ID        string
	Offset    time.Duration // arrival time after the start of the load
	Kind      Kind
	Workspace string
	Prompt    string // of a generation
	MaxTokens int64  // of a generation
	Body      string // of a confirmation
}

// lengthLogStdDev is the standard deviation of the natural logarithm of the lengths
// of ordinary answers.
const lengthLogStdDev = 0.7

// minTokens is the length of the shortest planned answer, in tokens.
const minTokens = 4

// Plan returns the requests of a shape in order of arrival. name is part of every
// id and prompt, so that plans of one shape with different names share no cached
// prefix.
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

// plannedRequest draws the n-th request of a plan, which arrives at the given time.
func (s Shape) plannedRequest(random *rand.Rand, name string, n int, at time.Duration) PlannedRequest {
	req := PlannedRequest{ID: fmt.Sprintf("%s-%d-%d", name, s.Seed, n), Offset: at, Workspace: s.Workspaces[zipfIndex(random, len(s.Workspaces))]}
	if random.Float64() < s.ConfirmationShare {
		req.Kind, req.Body = Confirmation, "stand "+req.ID
		return req
	}
	req.MaxTokens = s.drawAnswerTokens(random)
	req.Prompt = s.prefix(name, req.Workspace, zipfIndex(random, s.Prefixes)) + "Request " + req.ID
	return req
}

// zipfIndex draws an index from 0 to n-1. Index i has the weight 1/(i+1).
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

// drawAnswerTokens draws a random answer length in tokens: with probability LongShare a
// log-uniform length from LongMin to LongMax, otherwise a log-normal one that is
// limited to the range from minTokens to LongMin.
func (s Shape) drawAnswerTokens(random *rand.Rand) int64 {
	if random.Float64() < s.LongShare {
		logRange := math.Log(float64(s.LongMax) / float64(s.LongMin))
		return int64(float64(s.LongMin) * math.Exp(random.Float64()*logRange))
	}
	tokens := int64(float64(s.MedianTokens) * math.Exp(random.NormFloat64()*lengthLogStdDev))
	return min(max(tokens, minTokens), s.LongMin)
}

// prefix returns the n-th shared prompt prefix of a workspace.
func (s Shape) prefix(name, workspace string, n int) string {
	line := fmt.Sprintf("[%s %s %d] consignment history. ", name, workspace, n)
	return strings.Repeat(line, s.PrefixChars/len(line)+1)[:s.PrefixChars]
}

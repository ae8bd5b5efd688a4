// Package compare runs routing policies offline over one trace of requests, so
// that each step of routing can be weighed against a baseline. It calls the
// policies that daemons use; engines are reduced to a prefill queue, a batch
// and a prefix cache.
package compare

import (
	"bufio"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Arrival is one request of a trace.
type Arrival struct {
	At        time.Duration `json:"at"`
	Workspace int           `json:"workspace"`
	Prefix    uint64        `json:"prefix"`        // names the shared part of the prompt
	Shared    int           `json:"shared_blocks"` // of it
	Own       int           `json:"own_blocks"`    // after it
	Tokens    int           `json:"tokens"`        // length of the answer
}

// Shape describes a constructed trace.
type Shape struct {
	Requests   int
	Rate       float64 // requests a second
	Workspaces int
	Prefixes   int // shared prefixes per workspace
}

// DefaultShape returns the shape of one site's day at its peak, scaled in time.
func DefaultShape() Shape {
	return Shape{Requests: 40000, Rate: 180, Workspaces: 10, Prefixes: 4}
}

// Lengths of a constructed trace.
const (
	meanTokens   = 40.0
	longShare    = 0.06
	longTokens   = 600
	tokensSigma  = 0.8
	minShared    = 50
	sharedSpan   = 350
	ownBlocks    = 12
	workspaceExp = 1.1 // of the uneven sizes of workspaces
)

// Generate draws a trace: open-loop arrivals, workspaces of uneven size, long
// shared prefixes, heavy-tailed answers.
func Generate(s Shape, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	sizes := make([]int, s.Workspaces*s.Prefixes)
	for i := range sizes {
		sizes[i] = minShared + random.IntN(sharedSpan)
	}
	out := make([]Arrival, 0, s.Requests)
	var at float64
	for range s.Requests {
		at += random.ExpFloat64() / s.Rate
		w := uneven(random, s.Workspaces)
		p := w*s.Prefixes + uneven(random, s.Prefixes)
		out = append(out, Arrival{
			At: time.Duration(at * float64(time.Second)), Workspace: w, Prefix: uint64(p), Shared: sizes[p],
			Own: 1 + random.IntN(ownBlocks), Tokens: answerLength(random),
		})
	}
	return out
}

// uneven draws from 0 to n-1, the probability of i falling as 1/(i+1)^workspaceExp.
func uneven(random *rand.Rand, n int) int {
	var sum float64
	for i := range n {
		sum += math.Pow(float64(i+1), -workspaceExp)
	}
	left := random.Float64() * sum
	for i := range n {
		left -= math.Pow(float64(i+1), -workspaceExp)
		if left < 0 {
			return i
		}
	}
	return n - 1
}

func answerLength(random *rand.Rand) int {
	if random.Float64() < longShare {
		return longTokens + random.IntN(longTokens)
	}
	return 1 + int(meanTokens*math.Exp(tokensSigma*random.NormFloat64()-tokensSigma*tokensSigma/2))
}

// Write writes a trace as JSON lines.
func Write(w io.Writer, trace []Arrival) error {
	enc := json.NewEncoder(w)
	for _, a := range trace {
		if err := enc.Encode(a); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// Read reads a trace that was recorded or constructed before.
func Read(r io.Reader) ([]Arrival, error) {
	var out []Arrival
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var a Arrival
		err := dec.Decode(&a)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "request %d of trace", len(out)+1)
		}
		out = append(out, a)
	}
}

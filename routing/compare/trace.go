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
	At           time.Duration `json:"at"`
	Workspace    int           `json:"workspace"`
	Prefix       uint64        `json:"prefix"`        // names the shared part of the prompt
	SharedBlocks int           `json:"shared_blocks"` // of it
	OwnBlocks    int           `json:"own_blocks"`    // after it
	Tokens       int           `json:"tokens"`        // length of the answer
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
	meanAnswerTokens  = 40.0
	longAnswerShare   = 0.06
	longAnswerTokens  = 600
	answerTokensSigma = 0.8
	minSharedBlocks   = 50
	sharedBlocksRange = 350
	maxOwnBlocks      = 12
	zipfExponent      = 1.1 // of the uneven sizes of workspaces
)

// Generate draws a trace: open-loop arrivals, workspaces of uneven size, long
// shared prefixes, heavy-tailed answers.
func Generate(s Shape, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	sizes := make([]int, s.Workspaces*s.Prefixes)
	for i := range sizes {
		sizes[i] = minSharedBlocks + random.IntN(sharedBlocksRange)
	}
	out := make([]Arrival, 0, s.Requests)
	var at float64
	for range s.Requests {
		at += random.ExpFloat64() / s.Rate
		w := sampleZipf(random, s.Workspaces)
		p := w*s.Prefixes + sampleZipf(random, s.Prefixes)
		out = append(out, Arrival{
			At: time.Duration(at * float64(time.Second)), Workspace: w, Prefix: uint64(p), SharedBlocks: sizes[p],
			OwnBlocks: 1 + random.IntN(maxOwnBlocks), Tokens: answerLength(random),
		})
	}
	return out
}

// sampleZipf draws from 0 to n-1, the probability of i falling as 1/(i+1)^workspaceExp.
func sampleZipf(random *rand.Rand, n int) int {
	var sum float64
	for i := range n {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	left := random.Float64() * sum
	for i := range n {
		left -= math.Pow(float64(i+1), -zipfExponent)
		if left < 0 {
			return i
		}
	}
	return n - 1
}

func answerLength(random *rand.Rand) int {
	if random.Float64() < longAnswerShare {
		return longAnswerTokens + random.IntN(longAnswerTokens)
	}
	return 1 + int(meanAnswerTokens*math.Exp(answerTokensSigma*random.NormFloat64()-answerTokensSigma*answerTokensSigma/2))
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

// Package compare simulates routing policies on a trace of requests, to compare each
// step of the default scheduler with baselines. It runs the scheduler code of package
// routing. A simulated engine consists of a prefill queue, a batch and a prefix cache.
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
	At           time.Duration `json:"at"` // since the start of the trace
	Workspace    int           `json:"workspace"`
	Prefix       uint64        `json:"prefix"`        // identifies the shared prefix of the prompt
	SharedBlocks int           `json:"shared_blocks"` // blocks of the shared prefix
	OwnBlocks    int           `json:"own_blocks"`    // blocks after the shared prefix
	Tokens       int           `json:"tokens"`        // answer tokens
}

// Shape has the parameters of a generated trace.
type Shape struct {
	Requests   int
	Rate       float64 // requests per second
	Workspaces int
	Prefixes   int // shared prefixes per workspace
}

// DefaultShape returns the shape of the daily peak of a site, scaled in time.
func DefaultShape() Shape {
	return Shape{Requests: 40000, Rate: 180, Workspaces: 10, Prefixes: 4}
}

// Parameters of the distributions in a generated trace. Lengths are in tokens or blocks.
const (
	meanAnswerTokens  = 40.0
	longAnswerShare   = 0.06
	longAnswerTokens  = 600
	answerTokensSigma = 0.8
	minSharedBlocks   = 50
	sharedBlocksRange = 350
	maxOwnBlocks      = 12
	zipfExponent      = 1.1 // of the popularity of workspaces and prefixes
)

// Generate returns a random trace: open-loop Poisson arrivals, workspaces and shared
// prefixes with Zipf-distributed popularity, long shared prefixes and heavy-tailed
// answer lengths.
func Generate(s Shape, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	sizes := make([]int, s.Workspaces*s.Prefixes)
	for i := range sizes {
		sizes[i] = minSharedBlocks + random.IntN(sharedBlocksRange)
	}
	trace := make([]Arrival, 0, s.Requests)
	var seconds float64
	for range s.Requests {
		seconds += random.ExpFloat64() / s.Rate
		workspace := sampleZipf(random, s.Workspaces)
		prefix := workspace*s.Prefixes + sampleZipf(random, s.Prefixes)
		trace = append(trace, Arrival{
			At: time.Duration(seconds * float64(time.Second)), Workspace: workspace, Prefix: uint64(prefix), SharedBlocks: sizes[prefix],
			OwnBlocks: 1 + random.IntN(maxOwnBlocks), Tokens: answerLength(random),
		})
	}
	return trace
}

// sampleZipf returns a random number from 0 to n-1. The probability of i is proportional
// to 1/(i+1)^zipfExponent.
func sampleZipf(random *rand.Rand, n int) int {
	var sum float64
	for i := range n {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	remaining := random.Float64() * sum
	for i := range n {
		remaining -= math.Pow(float64(i+1), -zipfExponent)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// answerLength returns the random length of an answer in tokens: log-normal with a mean
// of about meanAnswerTokens or, with probability longAnswerShare, uniform from
// longAnswerTokens to 2*longAnswerTokens.
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

// Read reads a trace as JSON lines.
func Read(r io.Reader) ([]Arrival, error) {
	var trace []Arrival
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var a Arrival
		err := dec.Decode(&a)
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "decode request %d of trace", len(trace)+1)
		}
		trace = append(trace, a)
	}
}

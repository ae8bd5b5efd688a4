package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// keyResult holds the outcomes that callers received for one key.
type keyResult struct {
	Key      string           `json:"key"`
	Outcomes []client.Outcome `json:"told"` // named "told" in the output file
	Errors   []string         `json:"errors,omitempty"`
	WaitMs   float64          `json:"wait_ms"` // until the first caller received an outcome
	Started  int64            `json:"started"` // Unix milliseconds
}

// confirmLoad holds the flags and the results of the confirm-load command.
type confirmLoad struct {
	addresses       []string
	service         string
	workspace       string
	callers         int
	duration        time.Duration
	maxPause        time.Duration
	outcomeTimeout  time.Duration
	resendShare     float64
	seed            uint64
	outputFile      string
	lookupFile      string
	directAddresses []string

	targets []*target.Client
	mu      sync.Mutex
	results []keyResult
}

// confirmLoadCommand sends confirmations and writes the outcomes that callers received.
func confirmLoadCommand() *cobra.Command {
	l := &confirmLoad{}
	c := &cobra.Command{Use: "confirm-load", Short: "send confirmations, some of them by two callers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if l.lookupFile != "" {
				return l.lookUpAll(c.Context())
			}
			return l.run(c.Context())
		}}
	f := c.Flags()
	f.StringSliceVar(&l.addresses, "addresses", nil, "daemons to call, IP:port")
	f.StringVar(&l.service, "service", "sejemski-vpis", "plain service")
	f.StringVar(&l.workspace, "workspace", "fair", "workspace")
	f.IntVar(&l.callers, "callers", 16, "number of concurrent callers")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "time during which new confirmations are started")
	f.DurationVar(&l.maxPause, "pause", 20*time.Millisecond, "maximum pause of a caller between two confirmations")
	f.DurationVar(&l.outcomeTimeout, "patience", 15*time.Second, "maximum wait for one outcome")
	f.Float64Var(&l.resendShare, "resend", 0.2, "share of keys that a second caller sends as well, through another daemon")
	f.Uint64Var(&l.seed, "seed", 1, "random seed")
	f.StringVar(&l.outputFile, "out", "outcomes.json", "file to write the outcomes to")
	f.StringSliceVar(&l.directAddresses, "direct", nil, "call these targets instead of the daemons, for comparison")
	f.StringVar(&l.lookupFile, "again", "", "look up the keys in this file instead of sending confirmations")
	return c
}

// client returns a client whose list of daemons is rotated, so that the daemon at index
// shift comes first.
func (l *confirmLoad) client(shift int) *client.Client {
	n := len(l.addresses)
	rotated := append(append([]string(nil), l.addresses[shift%n:]...), l.addresses[:shift%n]...)
	return client.New(client.Settings{Addresses: rotated, CallerID: fmt.Sprint("caller-", shift)})
}

func (l *confirmLoad) run(ctx context.Context) error {
	for _, address := range l.directAddresses {
		l.targets = append(l.targets, target.NewClient(address))
	}
	end := time.Now().Add(l.duration)
	var wg sync.WaitGroup
	for i := range l.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(l.seed, uint64(i)))
			c, other := l.client(i), l.client(i+1)
			defer c.Close()
			defer other.Close()
			for time.Now().Before(end) {
				l.confirmOne(ctx, rnd, c, other)
				time.Sleep(time.Duration(rnd.Int64N(int64(l.maxPause) + 1)))
			}
		}()
	}
	wg.Wait()
	return l.write()
}

// confirmOne sends one confirmation with a new key. For the share resendShare of the
// keys, a second caller sends the same confirmation at the same time.
func (l *confirmLoad) confirmOne(ctx context.Context, rnd *rand.Rand, c, other *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, l.outcomeTimeout)
	defer cancel()
	if len(l.directAddresses) > 0 {
		l.callDirect(ctx, rnd)
		return
	}
	key, err := c.IssueKey(ctx)
	if err != nil {
		return
	}
	r := client.ConfirmRequest{Key: key, Workspace: l.workspace, Service: l.service, Body: "stand for " + key, DeadlineMs: 3000}
	k := keyResult{Key: key, Started: time.Now().UnixMilli()}
	callers := []*client.Client{c}
	if rnd.Float64() < l.resendShare {
		callers = append(callers, other)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for _, caller := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out, err := caller.Confirm(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			if k.WaitMs == 0 {
				k.WaitMs = float64(time.Since(start).Microseconds()) / 1000
			}
			k.Outcomes = append(k.Outcomes, out)
			if err != nil {
				k.Errors = append(k.Errors, err.Error())
			}
		}()
	}
	wg.Wait()
	l.mu.Lock()
	l.results = append(l.results, k)
	l.mu.Unlock()
}

// callDirect calls a random target directly and records the result in the form that
// results of confirmations have.
func (l *confirmLoad) callDirect(ctx context.Context, rnd *rand.Rand) {
	key := fmt.Sprintf("%d-1-%016x", time.Now().UnixMilli(), rnd.Uint64())
	k := keyResult{Key: key, Started: time.Now().UnixMilli()}
	t := l.targets[rnd.IntN(len(l.targets))]
	start := time.Now()
	reply, err := t.Call(ctx, target.Call{Key: key, Workspace: l.workspace, Body: "stand for " + key})
	k.WaitMs = float64(time.Since(start).Microseconds()) / 1000
	out := client.Outcome{Key: key, Outcome: failure.Ran, Status: reply.Status, Answer: reply.Body}
	if err != nil {
		out.Outcome = failure.Unknown
	}
	k.Outcomes = []client.Outcome{out}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, k)
}

// lookUpAll looks up the outcome of every key in lookupFile and appends it to the
// results of the key. The lookups are spread over the daemons.
func (l *confirmLoad) lookUpAll(ctx context.Context) error {
	b, err := os.ReadFile(l.lookupFile)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := json.Unmarshal(b, &l.results); err != nil {
		return errors.Wrap(err, "decode outcomes")
	}
	var wg sync.WaitGroup
	for i := range l.callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := l.client(i)
			defer c.Close()
			for j := i; j < len(l.results); j += l.callers {
				l.lookUp(ctx, c, &l.results[j])
			}
		}()
	}
	wg.Wait()
	return l.write()
}

func (l *confirmLoad) lookUp(ctx context.Context, c *client.Client, k *keyResult) {
	ctx, cancel := context.WithTimeout(ctx, l.outcomeTimeout)
	defer cancel()
	out, err := c.Outcome(ctx, k.Key)
	k.Outcomes = append(k.Outcomes, out)
	if err != nil {
		k.Errors = append(k.Errors, "again: "+err.Error())
	}
}

func (l *confirmLoad) write() error {
	b, err := json.Marshal(l.results)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(l.outputFile, b, 0o644))
}

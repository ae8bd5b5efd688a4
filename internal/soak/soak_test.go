// Package soak runs gateway processes with clients, engines and a store on loopback
// addresses, disturbs them, and checks the platform's rules from what clients and
// engines see.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var (
	seeds        = flag.Int("soak.seeds", 1, "number of seeds of each test")
	firstSeed    = flag.Uint64("soak.first", 1, "first seed")
	parallel     = flag.Int("soak.parallel", 3, "number of seeds that run at the same time")
	length       = flag.Duration("soak.length", 20*time.Second, "time in which faults are injected, for each seed")
	daemonCount  = flag.Int("soak.daemons", 6, "number of daemons of each seed")
	clientCount  = flag.Int("soak.clients", 60, "number of clients of each seed")
	keepLogs     = flag.String("soak.logs", "", "directory in which the logs of the daemons are kept")
	raceDetector = flag.Bool("soak.race", false, "build the daemons with the race detector")
)

// sites limits the number of sites that run at the same time.
var sites chan struct{}

// options describe a site and what is done to it.
type options struct {
	daemons, engines, clients int
	length                    time.Duration
	planned, unplanned        []fault
	copies, waits             bool                   // see site
	restores                  bool                   // the store is restored, and streams have engines of two versions
	slots                     func(int) int          // of the engine with a number; nil for many
	also                      []uint64               // seeds, unless flags choose them
	rollsOut                  func(seed uint64) bool // whether a version is rolled out; nil for never
}

// seedsOf returns the seeds of a test.
func seedsOf(o options) (out []uint64) {
	for i := range uint64(*seeds) {
		out = append(out, *firstSeed+i)
	}
	if *seeds == 1 && *firstSeed == 1 {
		out = append(out, o.also...)
	}
	return out
}

func TestMain(m *testing.M) {
	flag.Parse()
	sites = make(chan struct{}, *parallel)
	code := m.Run()
	if program, err := buildGateway(); err == nil {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// soak runs a site for each seed.
func soak(t *testing.T, o options) {
	o.daemons, o.clients, o.length = *daemonCount, *clientCount, *length
	o.engines = 3 + o.daemons
	t.Parallel()
	for _, seed := range seedsOf(o) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sites <- struct{}{}
			defer func() { <-sites }()
			o := o
			if o.waits {
				o.copies, o.slots = waitingSite(seed)
			}
			for _, b := range sortedBroken(newSite(t, seed, o).soak(seed, o)) {
				t.Error(b)
			}
		})
	}
}

// soak runs clients and faults, and returns the broken rules.
func (s *site) soak(seed uint64, o options) []string {
	var clients, faults sync.WaitGroup
	clientsDone, faultsDone := make(chan struct{}), make(chan struct{})
	for i := range o.clients {
		c := s.newClient(fmt.Sprint("c", i), seed<<16+uint64(i))
		c.patience, c.stubborn, c.persistent = []int{1, 1, 3}[i%3], i%4 == 3, o.restores
		kinds := []string{kindStream}
		if i%2 == 1 {
			kinds = []string{kindBook, kindRead}
		}
		clients.Go(func() { c.run(clientsDone, kinds) })
	}
	clients.Go(func() { s.watchStalls(clientsDone) })
	faults.Go(func() { s.inject(faultsDone, seed, o.planned, time.Second) })
	if o.waits {
		faults.Go(func() { s.inject(faultsDone, seed+2<<32, []fault{preempt}, time.Second) })
	}
	if s.backup != nil {
		faults.Go(func() { s.releaseVersions(faultsDone, seed) })
	}
	if s.rollout != nil {
		faults.Go(func() { s.rollOut(faultsDone, seed) })
	}
	if len(o.unplanned) > 0 {
		faults.Go(func() { s.inject(faultsDone, seed+1<<32, o.unplanned, 8*time.Second) })
	}
	time.Sleep(o.length)
	close(faultsDone)
	faults.Wait()
	close(clientsDone)
	clients.Wait()
	return s.check()
}

func (s *site) newClient(name string, seed uint64) *client {
	c := &client{name: name, rng: rand.New(rand.NewPCG(seed, 3)), record: s.record, patience: 1, idleTimeout: &s.idleTimeout, ledger: s.ledger}
	for _, d := range s.daemons {
		c.directory = append(c.directory, d.directory())
	}
	return c
}

// TestSoakPlanned guards against requests that are lost around the stop of a daemon, a
// reload of its settings or a change of the configuration.
func TestSoakPlanned(t *testing.T) { soak(t, options{planned: plannedFaults}) }

// TestSoakSilence guards against requests that are lost because an engine is silent for
// a while and then goes on.
func TestSoakSilence(t *testing.T) {
	soak(t, options{planned: append([]fault{silenceEngine}, plannedFaults...)})
}

// TestSoakGoingOn guards against requests on which two engines work: some engines don't drop a
// run whose connection has closed, or is broken by them.
func TestSoakGoingOn(t *testing.T) {
	soak(t, options{planned: append([]fault{silenceEngine, silenceEngine}, plannedFaults...), copies: true})
}

// TestSoakWaiting guards against streams that are lost at the end of a stop because their engine
// has preempted them, while another one could have gone on with them.
func TestSoakWaiting(t *testing.T) {
	soak(t, options{planned: []fault{terminate, terminate, terminate, reloadSettings, changeConfiguration}, waits: true, also: []uint64{8}})
}

// TestSoakCuts guards against callers of daemons without links to the engines who are served
// far less often than others.
func TestSoakCuts(t *testing.T) {
	soak(t, options{planned: append([]fault{silenceEngine, cutDaemons, cutDaemons, cutDaemons}, plannedFaults...)})
}

// TestSoakTrouble guards against broken rules while daemons are killed and suspended,
// and links are held up and reset. In one of four seeds, a version is rolled out meanwhile.
func TestSoakTrouble(t *testing.T) {
	soak(t, options{planned: plannedFaults, unplanned: unplannedFaults, rollsOut: func(seed uint64) bool { return seed%8 == 3 || seed%8 == 6 }})
}

package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/lag"
)

// processor is the processor of a simulated daemon: it does one piece of work after the
// other, in the order of their arrival.
type processor struct {
	free  chan struct{}
	meter lag.Meter
}

func newProcessor() *processor { return &processor{free: make(chan struct{}, 1)} }

// use waits for the processor and uses it for d.
func (p *processor) use(d time.Duration) {
	start := time.Now()
	p.free <- struct{}{}
	p.meter.Record(time.Now(), time.Since(start))
	time.Sleep(d)
	<-p.free
}

// Work of a daemon on a VM with 0.2 of a core.
const (
	busyHalfProbe  = 4 * time.Millisecond // before a probe is sent, and again after its answer
	busyRelay      = 8 * time.Millisecond // to connect through another daemon
	busyRelayAfter = 100 * time.Millisecond
	busyRequests   = 5 * time.Millisecond // requests and messages, in each busyInterval
	busyInterval   = 10 * time.Millisecond
	// The configuration: arrival, decoding of the message and of its entries, relay to
	// others, change of the dataset, table.
	busySteps = 6
	busyStep  = 25 * time.Millisecond
)

// busyClient is a client of targets that answer probes at once unless they are paused. What
// the daemon itself has to do waits for its processor.
type busyClient struct {
	*fakeTargetClient
	processor *processor
}

// Report implements TargetClient.
func (c *busyClient) Report(ctx context.Context, t fleet.Target) (Report, error) {
	start := time.Now()
	c.processor.use(busyHalfProbe)
	if time.Since(start) > busyRelayAfter {
		c.processor.use(busyRelay)
	}
	defer c.processor.use(busyHalfProbe)
	report, err := c.fakeTargetClient.Report(ctx, t)
	if err == nil {
		time.Sleep(2 * time.Millisecond) // round trip
		err = ctx.Err()
	}
	return report, errors.Wrap(err, "report")
}

// newBusyProber returns a prober of a daemon whose processor is client's, and its fleet with
// targets of one service, in turn in each of the places.
func newBusyProber(client *busyClient, seed uint64, places, perPlace int) (*Prober, *fleet.Fleet, []fleet.Target) {
	f := fleet.New("place-0", seed)
	prober := NewProber(client, f, event.NewRecorder("d", event.NewClock(time.Now), log.NewNopLogger(), 16))
	prober.Lateness = client.processor.meter.Since
	var targets []fleet.Target
	for i := range places * perPlace {
		target := fleet.Target{ID: fmt.Sprint("t", i), Service: "model", Place: fmt.Sprint("place-", i%places), Address: fmt.Sprint("10.0.0.1:", i), Slots: 12}
		targets = append(targets, target)
		f.Put(target)
	}
	return prober, f, targets
}

// endProbes removes all targets and waits for the last probes.
func endProbes(f *fleet.Fleet, targets []fleet.Target) {
	for _, target := range targets {
		f.Remove(time.Now(), target.ID, false)
	}
	time.Sleep(time.Minute)
}

// TestBusyDaemonRecovers guards against a daemon whose own processor is busy and that takes
// its late probes for silent targets: it probed ever more targets, had no processor time
// left for anything else, and a change of the configuration waited there for seconds.
func TestBusyDaemonRecovers(t *testing.T) {
	const (
		places, perPlace, streams = 5, 56, 6
		outages                   = 4
		// configurationWithin is the time in which a change must be in force everywhere.
		configurationWithin = 3 * time.Second
	)
	for run := range uint64(10) {
		// Without a meter, the bound on the checks has to suffice.
		seed, metered := run/2, run%2 == 0
		t.Run(fmt.Sprintf("seed %d, metered %v", seed, metered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &busyClient{newFakeTargetClient(), newProcessor()}
				prober, f, targets := newBusyProber(client, seed, places, perPlace)
				if !metered {
					prober.Lateness = nil
				}
				prober.OnSuspect = func(fleet.Target, bool) { client.processor.use(busyHalfProbe) } // broadcast of the suspicion
				var silent []string
				for i := 1; i < len(targets); i += places {
					silent = append(silent, targets[i].ID)
				}
				ctx, cancel := context.WithCancel(t.Context())
				every := func(interval time.Duration, work func()) {
					go func() {
						for ctx.Err() == nil {
							time.Sleep(interval)
							work()
						}
					}()
				}
				every(busyInterval, func() { client.processor.use(busyRequests) })
				for i := range streams {
					every(prefillProbeInterval, func() { prober.Probe(targets[(int(seed)+i)%places], make(chan ProbeResult, 1)) })
				}
				time.Sleep(2 * time.Second)
				for range outages {
					client.pauseFor(1200*time.Millisecond, silent...)
					time.Sleep(3 * time.Second)
				}
				time.Sleep(2 * time.Second)

				changedAt := time.Now()
				for range busySteps {
					client.processor.use(busyStep)
				}
				if took := time.Since(changedAt); took > configurationWithin {
					t.Errorf("a change of the configuration is in force after %v", took)
				}
				time.Sleep(3 * time.Second)
				for _, target := range targets {
					if f.State(time.Now(), target.ID) == fleet.Suspected {
						t.Errorf("target %s is suspected, though it has answered for 5 s or more", target.ID)
					}
				}
				cancel()
				endProbes(f, targets)
			})
		})
	}
}

// TestLateProbesProveNothing guards against a daemon that was busy itself, as while it
// decodes a large configuration, and that takes the targets of its probes for silent: their
// streams were taken from them.
func TestLateProbesProveNothing(t *testing.T) {
	for _, busy := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint("busy for ", busy), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &busyClient{newFakeTargetClient(), newProcessor()}
				prober, f, targets := newBusyProber(client, 1, 2, 1)
				sound, silent := targets[0], targets[1]
				prober.OnSuspect = func(suspect fleet.Target, _ bool) {
					if suspect.ID == sound.ID {
						t.Error("a sound target was suspected")
					}
				}
				client.pause(silent.ID)
				go client.processor.use(busy)
				for range 5 {
					prober.Probe(sound, make(chan ProbeResult, 1))
					prober.Probe(silent, make(chan ProbeResult, 1))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(busy + time.Second)
				if f.State(time.Now(), silent.ID) != fleet.Suspected {
					t.Error("a silent target is not suspected a second after the daemon was busy")
				}
				endProbes(f, targets)
			})
		})
	}
}

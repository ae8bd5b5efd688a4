package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// fault does something to the site. It returns once its effect has ended.
type fault func(s *site, rng *rand.Rand)

// plannedFaults are those around which no request may be lost.
var plannedFaults = []fault{terminate, terminate, reloadSettings, changeConfiguration, nameLimit}

// unplannedFaults excuse lost requests.
var unplannedFaults = []fault{kill, suspend, holdLink, resetLink, cutDaemons}

// inject injects faults until done is closed, each after a pause, so that they overlap.
func (s *site) inject(done <-chan struct{}, seed uint64, faults []fault, maxPause time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(upTo(rng, maxPause)):
		}
		inject, faultRNG := faults[rng.IntN(len(faults))], rand.New(rand.NewPCG(rng.Uint64(), 2))
		running.Go(func() { inject(s, faultRNG) })
	}
}

// terminate stops a daemon as the platform does, and starts it again.
func terminate(s *site, rng *rand.Rand) {
	d := s.reserve(rng)
	if d == nil {
		return
	}
	defer s.release(d)
	late := s.connectLateCallers(rng, d)
	defer late.Wait()
	from := time.Now()
	d.signal(syscall.SIGTERM)
	if !d.awaitEnd(grace) {
		d.signal(syscall.SIGKILL)
		d.awaitEnd(time.Minute)
	}
	s.note(&s.planned, span{"SIGTERM", d.id, from, time.Now()})
	s.restart(d)
}

// lateCallers is the number of callers that use an open connection to a stopping daemon
// about as long after the signal as callers may keep an answer of the directory.
const lateCallers = 12

// connectLateCallers opens connections to a daemon that gets a SIGTERM now. One request
// is sent on each at about lateSend.
func (s *site) connectLateCallers(rng *rand.Rand, d *daemon) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i := range lateCallers {
		conn, err := net.Dial("tcp", d.callers())
		if err != nil {
			continue // the daemon has just started
		}
		c := s.newClient(fmt.Sprintf("late%d-%d", rng.Uint32(), i), rng.Uint64())
		c.stubborn = true
		c.pool = []*clientConn{{Conn: conn, address: d.callers(), reader: bufio.NewReader(conn), usedAt: time.Now().Add(time.Hour)}}
		wait := lateSend - 100*time.Millisecond + upTo(rng, 200*time.Millisecond)
		callers.Go(func() {
			defer c.close()
			time.Sleep(wait)
			c.request(kindStream)
		})
	}
	return &callers
}

// restart starts a daemon and waits until it is ready and its callers are back.
func (s *site) restart(d *daemon) {
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		s.t.Error(err)
	}
	s.awaitReady(d)
	time.Sleep(contact)
}

// reloadSettings changes a daemon's settings file and signals it.
func reloadSettings(s *site, rng *rand.Rand) {
	d := s.reserve(rng)
	if d == nil {
		return
	}
	defer s.release(d)
	if err := d.writeSettings([]string{"info", "warn"}[rng.IntN(2)]); err != nil {
		s.t.Error(err)
	}
	time.Sleep(upTo(rng, 200*time.Millisecond))
	from := time.Now()
	d.signal(syscall.SIGHUP)
	s.note(&s.planned, span{"SIGHUP", d.id, from, from.Add(configApply)})
	time.Sleep(configApply)
}

func changeConfiguration(s *site, _ *rand.Rand) {
	s.mu.Lock()
	from := time.Now()
	s.configure()
	until := time.Now().Add(configApply + time.Second)
	s.mu.Unlock()
	s.note(&s.planned, span{"configuration", "", from, until})
	time.Sleep(time.Until(until))
}

func silenceEngine(s *site, rng *rand.Rand) {
	e := s.engines[rng.IntN(len(s.engines))]
	s.mu.Lock()
	from := time.Now()
	d := 500*time.Millisecond + upTo(rng, time.Second)
	if until := e.silentUntilTime(); until.After(from.Add(d)) {
		d = until.Sub(from) // it is silent for longer already
	}
	e.silence(d)
	s.mu.Unlock()
	s.note(&s.planned, span{silenceOf(e.id), "", from, from.Add(d)})
	time.Sleep(d)
}

// silenceOf is the kind of a span in which an engine is silent.
func silenceOf(engine string) string { return "silence of " + engine }

func kill(s *site, rng *rand.Rand) {
	d := s.reserve(rng)
	if d == nil {
		return
	}
	defer s.release(d)
	from := time.Now()
	d.signal(syscall.SIGKILL)
	d.awaitEnd(time.Minute)
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		s.t.Error(err)
	}
	s.note(&s.troubles, span{"SIGKILL", d.id, from, time.Now()})
	s.awaitReady(d)
	time.Sleep(contact)
}

func suspend(s *site, rng *rand.Rand) {
	d := s.reserve(rng)
	if d == nil {
		return
	}
	defer s.release(d)
	from := time.Now()
	d.signal(syscall.SIGSTOP)
	time.Sleep(100*time.Millisecond + upTo(rng, 3*time.Second))
	d.signal(syscall.SIGCONT)
	s.note(&s.troubles, span{"SIGSTOP", d.id, from, time.Now()})
	time.Sleep(contact)
}

func holdLink(s *site, rng *rand.Rand) {
	from, d := time.Now(), 100*time.Millisecond+upTo(rng, 3*time.Second)
	s.links[rng.IntN(len(s.links))].hold(d)
	s.note(&s.troubles, span{"held link", "", from, from.Add(d)})
	time.Sleep(d)
}

func resetLink(s *site, rng *rand.Rand) {
	s.links[rng.IntN(len(s.links))].reset()
	now := time.Now()
	s.note(&s.troubles, span{"reset link", "", now, now})
}

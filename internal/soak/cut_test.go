package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// cutKind is what happens to the connections between a daemon and the engines.
type cutKind int

const (
	cutHangs cutKind = iota
	cutResets
	cutRefusesNew // while open connections live on
)

func (k cutKind) String() string {
	return [...]string{"hang", "are reset", "live on while new ones are refused"}[k]
}

// partition is a partition of a daemon from the engines.
type partition struct {
	kind  cutKind
	ended chan struct{}
}

// ipOf returns the IP of the daemon at the other end of a connection.
func ipOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // a TCP address
	return host
}

func (p *proxy) cutOf(ip string) *partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[ip]
}

// admits reports whether a new connection is forwarded. One that is cut off is refused, or
// silent until the cut has ended.
func (p *proxy) admits(in net.Conn) bool {
	c := p.cutOf(ipOf(in))
	if c == nil {
		return true
	}
	if c.kind == cutHangs {
		<-c.ended
	}
	setLinger(in)
	_ = in.Close()
	return false
}

// awaitCut holds the bytes of a connection that is silent for a cut.
func (p *proxy) awaitCut(ends ...net.Conn) {
	for _, end := range ends {
		if c := p.cutOf(ipOf(end)); c != nil && c.kind == cutHangs {
			<-c.ended
		}
	}
}

// begin cuts the daemon with an IP off.
func (p *proxy) begin(ip string, c *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cuts == nil {
		p.cuts = make(map[string]*partition)
	}
	p.cuts[ip] = c
	if c.kind != cutResets {
		return
	}
	for conn := range p.conns {
		if ipOf(conn) == ip {
			setLinger(conn)
			_ = conn.Close()
		}
	}
}

func (p *proxy) end(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cuts, ip)
}

// cutDaemons cuts some daemons off from all engines, while clients, the store and the other
// daemons still reach them. At least one daemon keeps its links.
func cutDaemons(s *site, rng *rand.Rand) {
	var daemons []*daemon
	for range 1 + rng.IntN(len(s.daemons)/2) {
		if d := s.reserve(rng); d != nil {
			daemons = append(daemons, d)
			defer s.release(d)
		}
	}
	if len(daemons) == 0 {
		return
	}
	c, from := &partition{kind: cutKind(rng.IntN(3)), ended: make(chan struct{})}, time.Now()
	for _, link := range s.links[1:] { // the first is the store's
		for _, d := range daemons {
			link.begin(d.ip, c)
		}
	}
	time.Sleep(contact + 2*time.Second + upTo(rng, 5*time.Second))
	for _, link := range s.links[1:] {
		for _, d := range daemons {
			link.end(d.ip)
		}
	}
	close(c.ended)
	until := time.Now()
	var addresses []string
	for _, d := range daemons {
		addresses = append(addresses, d.callers())
	}
	s.mu.Lock()
	s.cuts = append(s.cuts, linkCut{addresses, from, until})
	s.mu.Unlock()
	s.note(&s.troubles, span{fmt.Sprintf("%d daemons whose links to engines %v, with", len(daemons), c.kind), daemons[0].id, from, until})
	time.Sleep(contact)
}

// linkCut is a time in which daemons had no links to engines.
type linkCut struct {
	daemons     []string // their addresses for callers
	from, until time.Time
}

// checkCuts returns the cuts during which first tries at the daemons that were cut off were
// served far less often than those at the others.
func (s *site) checkCuts() (broken []string) {
	for _, c := range s.cuts {
		var sent, served [2]int // at the others, and at those cut off
		for _, a := range s.record.attempts {
			if !strings.HasSuffix(a.id, ".0") || a.begun.Before(c.from.Add(contact)) || a.begun.After(c.until) {
				continue
			}
			i := 0
			if contains(c.daemons, a.daemon) {
				i = 1
			}
			sent[i]++
			if a.complete && a.status == http.StatusOK {
				served[i]++
			}
		}
		failed := float64(sent[1] - served[1])
		if sent[0] == 0 || sent[1] == 0 || failed <= 10+float64(sent[0]+sent[1])/50 {
			continue
		}
		if 3*served[1]*sent[0] < 2*served[0]*sent[1] {
			broken = append(broken, fmt.Sprintf("RECOVER: from %.3f s on, daemons without links served %d of %d first tries, the others %d of %d", c.from.Sub(s.start).Seconds(), served[1], sent[1], served[0], sent[0]))
		}
	}
	return broken
}

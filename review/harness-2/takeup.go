package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 120
	eventTime    = 50 * time.Millisecond
	// streamGap is four times slo_ms of the route, after which clients abandon a stream.
	streamGap = 18 * time.Second
	// contact is contact_ms of the small sites.
	contact = 3 * time.Second
	// streamsPerSecond is how many new streams clients begin, at all machines together.
	streamsPerSecond = 5
)

// stream answers a request for a stream: an event each eventTime, after Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	next := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for ; next < streamEvents; next++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s at %s\n\n", next, next, e.id, e.version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// path is the network path from the clients to one machine. While the machine has no power, nothing
// comes back on it, and what was open stays open at the clients' side.
type path struct {
	to      string
	address string

	mu    sync.Mutex
	dark  bool
	conns map[net.Conn]net.Conn // the clients' side, with the machine's side
}

func newPath(to string) (*path, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{to: to, address: l.Addr().String(), conns: make(map[net.Conn]net.Conn)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

func (p *path) carry(client net.Conn) {
	p.mu.Lock()
	dark := p.dark
	p.mu.Unlock()
	if dark {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	machine, err := net.Dial("tcp", p.to)
	if err != nil {
		resetConn(client)
		return
	}
	p.mu.Lock()
	p.conns[client] = machine
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(machine, client)
		_ = machine.Close()
	}()
	_, _ = io.Copy(client, machine)
	p.mu.Lock()
	_, open := p.conns[client]
	delete(p.conns, client)
	p.mu.Unlock()
	if open {
		_ = client.Close()
	}
}

// setDark takes the machine's power from the path, or gives it back for new channels.
func (p *path) setDark(dark bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = dark
	if !dark {
		return
	}
	for client, machine := range p.conns {
		delete(p.conns, client)
		_ = machine.Close()
	}
}

// attempt is what a client saw of one request for a stream.
type attempt struct {
	id, daemon, resumes string
	sentAt              time.Time
	status              int
	events              int
	last                int             // id of the last event that the client has
	versions            map[string]bool // that the events name
	end                 string
}

// requestStream sends one request for a stream and reads events until the stream ends, breaks off or
// pauses for streamGap.
func (s *site) requestStream(d *daemon, p *path, resumes string, last int) attempt {
	a := attempt{id: newID(), daemon: d.id, resumes: resumes, sentAt: time.Now(), last: last, versions: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(streamGap, cancel)
	defer gap.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/plan/"+a.id, strings.NewReader("plan"))
	if err != nil {
		panic(err)
	}
	req.Host = "booking.example"
	req.Header.Set("Vanillaroad-Request-Id", a.id)
	req.Header.Set("Vanillaroad-Deadline-Ms", "25000")
	req.Header.Set("Authorization", "Bearer key-1")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	s.record("client: stream %s to %s, resumes %q after event %d", a.id, d.id, resumes, last)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		a.end = "no answer"
	} else {
		a.status = resp.StatusCode
		lines := bufio.NewScanner(resp.Body)
		for resp.StatusCode == http.StatusOK && lines.Scan() {
			if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				gap.Reset(streamGap)
				a.last, _ = strconv.Atoi(n)
				a.events++
			}
			if _, version, ok := strings.Cut(lines.Text(), " at "); ok {
				a.versions[version] = true
			}
		}
		_ = resp.Body.Close()
		a.end = "broken off"
		if a.last == streamEvents-1 {
			a.end = "complete"
		}
	}
	s.record("client: stream %s at %s: status %d, %d events, last %d, %s", a.id, d.id, a.status, a.events, a.last, a.end)
	return a
}

// streamClients begin streams at all machines in turn. Each takes its stream up once, at the next
// machine, if it broke off or fell silent.
type streamClients struct {
	site  *site
	paths []*path
	stop  chan struct{}

	mu      sync.Mutex
	clients sync.WaitGroup
	streams [][]attempt // of each client, one or two
}

// startStreams starts clients that begin perSecond streams a second.
func (s *site) startStreams(perSecond int) (*streamClients, error) {
	c := &streamClients{site: s, stop: make(chan struct{})}
	for _, d := range s.daemons {
		p, err := newPath(d.front)
		if err != nil {
			return nil, err
		}
		c.paths = append(c.paths, p)
	}
	c.clients.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-tick.C:
				c.clients.Go(func() { c.client(i) })
			}
		}
	})
	return c, nil
}

func (c *streamClients) client(i int) {
	at, next := i%len(c.paths), (i+1)%len(c.paths)
	stream := []attempt{c.site.requestStream(c.site.daemons[at], c.paths[at], "", -1)}
	if a := stream[0]; a.events > 0 && a.end != "complete" {
		stream = append(stream, c.site.requestStream(c.site.daemons[next], c.paths[next], a.id, a.last))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, stream)
}

// losePower makes the clients' channels to all machines silent for 2 s. With kill, the machines'
// processes end at once, and start again after it. It returns when all are ready.
func (c *streamClients) losePower(kill bool) error {
	c.site.record("the channels of all clients go silent")
	for i, d := range c.site.daemons {
		c.paths[i].setDark(true)
		if kill {
			c.site.record("%s loses power", d.id)
			_ = d.process.Process.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	for i, d := range c.site.daemons {
		c.paths[i].setDark(false)
		if kill {
			_ = d.process.Wait()
			if err := c.site.startDaemon(d, false); err != nil {
				return err
			}
		}
	}
	if !c.site.awaitReady() {
		return errors.New("the daemons are not ready again")
	}
	c.site.record("all machines are ready")
	return nil
}

// takeUp plays the loss of power of all machines at once; later, a server of another software
// version joins. The clients then take up the streams that had begun before the loss, when all
// servers had one version.
func takeUp(root, record string, trouble bool) int {
	s, _, err := startSite(root, record, 4, 4, 24, 15*time.Millisecond)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Println(err)
		return failed
	}
	clients, err := s.startStreams(streamsPerSecond)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	time.Sleep(8 * time.Second)
	lostAt := time.Now()
	if err := clients.losePower(trouble); err != nil {
		fmt.Println(err)
		return failed
	}
	backAt := time.Now()
	time.Sleep(6 * time.Second)
	if _, err := s.join("i-9", "zone-1", "v2", 24); err != nil {
		fmt.Println(err)
		return failed
	}
	time.Sleep(14 * time.Second)
	close(clients.stop)
	clients.clients.Wait()

	inTouch := func(at time.Time) bool { return at.Before(lostAt) || at.After(backAt.Add(contact)) }
	taken, wentOn, begun, began := 0, 0, 0, 0
	for _, stream := range clients.streams {
		if inTouch(stream[0].sentAt) {
			begun++
			if stream[0].events > 0 {
				began++
			}
		}
		if len(stream) == 2 && inTouch(stream[1].sentAt) {
			taken++
			if stream[1].events > 0 {
				wentOn++
			}
		}
	}
	line := fmt.Sprintf("of %d streams that clients took up again at machines in touch, %d went on; of %d new ones, %d began", taken, wentOn, begun, began)
	s.record("%s", line)
	fmt.Println(line)
	switch {
	case taken < 12 || began*10 < begun*9:
		return failed
	case 2*wentOn*begun < taken*began:
		s.record("LOST broken")
		return broken
	}
	return held
}

// join starts a server that joins the service.
func (s *site) join(id, zone, version string, slots int) (*engine, error) {
	e := &engine{id: id, service: "booking", zone: zone, version: version, slots: slots, workTime: 15 * time.Millisecond, site: s}
	if err := e.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.record("engine %s of version %s joins", id, version)
	return e, nil
}

// joined plays a drill, after which two servers of a new version leave again, and the loss of power
// of all machines. The clients then take up the streams that had begun at the new version.
func joined(root, record string, trouble bool) int {
	s, _, err := startSite(root, record, 4, 1, 24, 15*time.Millisecond)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Println(err)
		return failed
	}
	clients, err := s.startStreams(2 * streamsPerSecond)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	time.Sleep(2 * time.Second)
	copyAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	var joining []*engine
	for _, id := range []string{"i-8", "i-9"} {
		e, err := s.join(id, "zone-1", "v2", 24)
		if err != nil {
			fmt.Println(err)
			return failed
		}
		joining = append(joining, e)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.record("the store is away")
		s.store.setAway(true)
		time.Sleep(time.Second)
		s.store.restore(copyAt)
		s.record("the store is back, from a copy that is %.1f s old", time.Since(copyAt).Seconds())
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second)
	for _, e := range joining {
		e.leave()
	}
	time.Sleep(2 * time.Second)
	if err := clients.losePower(trouble); err != nil {
		fmt.Println(err)
		return failed
	}
	time.Sleep(8 * time.Second)
	for _, e := range joining {
		s.record("engine %s exits", e.id)
		_ = e.server.Close()
	}
	time.Sleep(6 * time.Second)
	close(clients.stop)
	clients.clients.Wait()

	taken, refused, mixed, began := 0, 0, 0, 0
	for _, stream := range clients.streams {
		versions := make(map[string]bool)
		for _, a := range stream {
			for v := range a.versions {
				versions[v] = true
			}
		}
		if stream[0].events > 0 {
			began++
		}
		if len(versions) > 1 {
			mixed++
			s.record("ORDER broken: stream %s has events of two versions, until event %d and after it", stream[0].id, stream[0].last)
		}
		if len(stream) == 2 && stream[0].versions["v2"] {
			taken++
			if stream[1].events == 0 {
				refused++
			}
		}
	}
	line := fmt.Sprintf("%d streams began; of %d that had begun at v2 and were taken up, %d got no events; %d streams have events of two versions", began, taken, refused, mixed)
	s.record("%s", line)
	fmt.Println(line)
	switch {
	case taken < 3:
		return failed
	case mixed > 2:
		return broken
	}
	return held
}

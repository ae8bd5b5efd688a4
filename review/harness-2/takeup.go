package main

import (
	"bufio"
	"context"
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
	last                int // id of the last event that the client has
	end                 string
}

// requestStream sends one request for a stream and reads events until the stream ends, breaks off or
// pauses for streamGap.
func (s *site) requestStream(d *daemon, p *path, resumes string, last int) attempt {
	a := attempt{id: newID(), daemon: d.id, resumes: resumes, sentAt: time.Now(), last: last}
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
	var paths []*path
	for _, d := range s.daemons {
		p, err := newPath(d.front)
		if err != nil {
			fmt.Println(err)
			return failed
		}
		paths = append(paths, p)
	}
	var (
		mu            sync.Mutex
		first, second []attempt
		clients       sync.WaitGroup
	)
	client := func(i int) {
		defer clients.Done()
		a := s.requestStream(s.daemons[i%4], paths[i%4], "", -1)
		mu.Lock()
		first = append(first, a)
		mu.Unlock()
		if a.events == 0 || a.end == "complete" {
			return
		}
		b := s.requestStream(s.daemons[(i+1)%4], paths[(i+1)%4], a.id, a.last)
		mu.Lock()
		second = append(second, b)
		mu.Unlock()
	}
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second / streamsPerSecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				clients.Add(1)
				go client(i)
			}
		}
	}()
	time.Sleep(8 * time.Second)
	lostAt := time.Now()
	s.record("the channels of all clients go silent")
	for i, d := range s.daemons {
		paths[i].setDark(true)
		if trouble {
			s.record("%s loses power", d.id)
			_ = d.process.Process.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	for i, d := range s.daemons {
		paths[i].setDark(false)
		if trouble {
			_ = d.process.Wait()
			if err := s.startDaemon(d, false); err != nil {
				fmt.Println(err)
				return failed
			}
		}
	}
	if !s.awaitReady() {
		fmt.Println("the daemons are not ready again")
		return failed
	}
	backAt := time.Now()
	s.record("all machines are ready, %.1f s after the loss", backAt.Sub(lostAt).Seconds())
	time.Sleep(6 * time.Second)
	joining := &engine{id: "i-9", service: "booking", zone: "zone-1", version: "v2", slots: 24, workTime: 15 * time.Millisecond, site: s}
	if err := joining.start("127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return failed
	}
	s.record("engine i-9 of version v2 joins; those of v1 go on to serve")
	time.Sleep(14 * time.Second)
	close(stop)
	time.Sleep(100 * time.Millisecond)
	clients.Wait()

	inTouch := func(at time.Time) bool { return at.Before(lostAt) || at.After(backAt.Add(contact)) }
	taken, wentOn, begun, began := 0, 0, 0, 0
	for _, a := range second {
		if inTouch(a.sentAt) {
			taken++
			if a.events > 0 {
				wentOn++
			}
		}
	}
	for _, a := range first {
		if inTouch(a.sentAt) {
			begun++
			if a.events > 0 {
				began++
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

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// startSite starts a site with as many engines of the plain service as daemons.
func startSite(root, record string, daemons, zones, slots int, workTime time.Duration) (*site, []*engine, error) {
	s, err := newSite(root, record, daemons, zones)
	if err != nil {
		return nil, nil, err
	}
	s.store.put("config", "main", bookingConfig(7))
	var engines []*engine
	for i := range daemons {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "booking", zone: s.daemons[i].zone, version: "v1", slots: slots, workTime: workTime, site: s}
		if err := e.start("127.0.0.1:0"); err != nil {
			return s, nil, err
		}
		engines = append(engines, e)
	}
	for _, d := range s.daemons {
		if err := s.startDaemon(d, true); err != nil {
			return s, nil, err
		}
	}
	if !s.awaitReady() {
		return s, nil, fmt.Errorf("the daemons are not ready")
	}
	time.Sleep(5 * time.Second)
	return s, engines, nil
}

const (
	// uploadBytes is the size of the body of an upload, below max_body_bytes.
	uploadBytes = 4_000_000
	uploads     = 80
	// cutTime is for_s of node_cut in the site file.
	cutTime = 5500 * time.Millisecond
	// uploaders is how many clients send them, one after the other each.
	uploaders = 16
	// loadPerDaemon is the usual requests a second at each daemon.
	loadPerDaemon = 100
)

// relayedReset plays a machine that is cut off from all servers for some seconds, so that its
// requests are relayed by others, while some answers of half of the servers break off: the server
// answers a long upload before it has read it, without a length, and resets the channel halfway.
func relayedReset(root, record string, trouble bool) int {
	s, engines, err := startSite(root, record, 4, 1, 6, 15*time.Millisecond)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Println(err)
		return failed
	}
	engines[0].faulty, engines[1].faulty = true, true
	l, stop := &load{}, make(chan struct{})
	for _, d := range s.daemons {
		l.run(s, d, loadPerDaemon, stop)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.record("%s is cut off from all engines", s.daemons[0].id)
		for _, e := range engines {
			e.cut(s.daemons[0].source)
		}
	}
	time.AfterFunc(cutTime, func() {
		for _, e := range engines {
			e.cut("")
		}
		s.record("the cut ends")
	})
	time.Sleep(time.Second)
	body := strings.Repeat("0123456789", uploadBytes/10)
	var (
		mu      sync.Mutex
		clients sync.WaitGroup
	)
	halves, others, whole := 0, 0, 0
	upload := func(c *http.Client, path string) {
		r := s.send(c, s.daemons[0], http.MethodPost, path, "non_idempotent", body, 2500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.status == http.StatusOK && r.err == nil && r.body != wholeAnswer(r.id):
			halves++
			s.record("MIXED broken: the client got 200 with %d of %d bytes in answer to %s, and the answer looks complete", len(r.body), len(wholeAnswer(r.id)), r.id)
		case r.status == http.StatusOK && r.err == nil:
			whole++
		default:
			others++
		}
	}
	for i := range uploaders {
		clients.Go(func() {
			c := newClient()
			for j := range uploads / uploaders {
				upload(c, "/upload/"+strconv.Itoa(i*uploads+j))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	l.wg.Wait()
	served := 0
	for _, r := range l.results {
		if r.status == http.StatusOK {
			served++
		}
	}
	line := fmt.Sprintf("of %d uploads, %d ended with half of the answer as a success, %d with the whole answer, %d otherwise; of the other %d requests, %d were served", uploads, halves, whole, others, len(l.results), served)
	s.record("%s", line)
	fmt.Println(line)
	switch {
	case halves > 0:
		return broken
	case whole == 0 || others == 0 || served*2 < len(l.results):
		return failed
	}
	return held
}

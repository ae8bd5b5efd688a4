package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Size of the crowd of doors.
const (
	crowd       = 300 // connections at each directory
	crowdLength = 25 * time.Second
)

// crowdMember keeps a connection at a directory until done is closed: it sends a request whose
// chunked body stops just short of its end, and stays open. When it is closed, it comes again.
func crowdMember(address string, done <-chan struct{}, opened *atomic.Int64) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 16<<10, strings.Repeat("c", 16<<10))
	text := "GET /-/resolve?name=" + host + "&region=free-state&zone=bloem-a HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 6)
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			opened.Add(1)
			gone := make(chan struct{})
			go func() {
				for b := make([]byte, 1024); ; {
					if _, err := c.Read(b); err != nil {
						close(gone)
						return
					}
				}
			}()
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.Write([]byte(text))
			select {
			case <-gone:
			case <-done:
			}
			_ = c.Close()
			<-gone
		}
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// resolve asks up to three directories, one second each, as callers do.
func resolve(s *site, first int) []string {
	for i := range min(3, len(s.daemons)) {
		d := s.daemons[(first+i)%len(s.daemons)]
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + d.directory + "/-/resolve?name=" + host + "&region=free-state&zone=bloem-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// doors: many callers send chunked bodies to the directories and stop just short of their end.
func doors(trouble bool) (broken []string) {
	s := newSite()
	s.configure([]map[string]any{plainRoute("gate-notice", "/gate/", "idempotent", "booking-app", 2)}, []map[string]any{plainService("booking-app")})
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "booking-app", zone: "bloem-a", slots: 6, work: 30 * time.Millisecond}
		e.start(s)
	}
	s.startDaemons(3)
	time.Sleep(2*contact + time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		for _, d := range s.daemons {
			for range crowd {
				wg.Go(func() { crowdMember(d.directory, done, &opened) })
			}
		}
		time.Sleep(contact)
	}
	var mu sync.Mutex
	asked, resolved, answered := 0, 0, 0
	began := time.Now()
	for i := range 10 {
		wg.Go(func() {
			for n := 0; time.Since(began) < crowdLength; n++ {
				addresses := resolve(s, i+n)
				status := 0
				if len(addresses) > 0 {
					at := &daemon{site: s, id: "at " + addresses[n%len(addresses)], callers: addresses[n%len(addresses)]}
					c := newCaller(s, at)
					status = c.send(http.MethodGet, fmt.Sprintf("/gate/%x", n), 2500*time.Millisecond, nil, "").status
					c.http.CloseIdleConnections()
				}
				s.note("caller %d: directory answered %t, its request got status %d", i, len(addresses) > 0, status)
				mu.Lock()
				asked++
				if len(addresses) > 0 {
					resolved++
				}
				if status == http.StatusOK {
					answered++
				}
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	for time.Since(began) < crowdLength {
		time.Sleep(time.Second)
		ready := 0
		for _, d := range s.daemons {
			if d.ready() {
				ready++
			}
		}
		s.note("%d of %d daemons say that they are ready; the crowd has opened %d connections", ready, len(s.daemons), opened.Load())
	}
	close(done)
	wg.Wait()
	s.note("ordinary callers: %d tries, %d got an answer of a directory, %d got the answer to their request", asked, resolved, answered)
	if answered*2 < asked {
		broken = append(broken, fmt.Sprintf("ordinary callers: of %d tries, %d got an answer of a directory and %d the answer to their request", asked, resolved, answered))
	}
	return broken
}

package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/platform"
)

// rolloutStreams is a test environment with streams during a roll-out. Each event names the version
// of the target that sent it.
type rolloutStreams struct {
	*testEnv
	sends   [2]atomic.Int64 // requests that reached targets of v1 and v2, resumes included
	begun   [2]atomic.Int64 // of them, new streams
	broken  [2]atomic.Int64 // of those, broken off by the target
	breaks  atomic.Bool     // targets break streams off
	resumed atomic.Int64    // streams that callers took up at another daemon
	streams atomic.Int64    // complete ones
}

// breakEvery is the number of new streams of which a target breaks one off. It breaks off none that
// is resumed: with two targets of a version, a stream that both have lost can go nowhere.
const breakEvery = 6

// startTarget starts and registers a target of a version.
func (e *rolloutStreams) startTarget(id string, version int) {
	s := httptest.NewServer(targetHandler("stamp-"+id, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/s/x" {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		e.sends[version-1].Add(1)
		next := 0
		breaks := r.Header.Get("Last-Event-Id") == "" && e.begun[version-1].Add(1)%breakEvery == 0 && e.breaks.Load()
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			next = last + 1
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		for end := next + streamEvents/4; next < streamEvents && r.Context().Err() == nil; next++ {
			if breaks && next == end {
				e.broken[version-1].Add(1)
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: v%d\n\n", next, version)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(streamEventTime)
		}
	}))
	e.t.Cleanup(s.Close)
	e.put(platform.TargetKind, id, map[string]any{
		"service": "s", "address": s.Listener.Addr().String(), "zone": "p", "version": fmt.Sprint("v", version), "slots": 50, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
}

// read requests a stream, or what follows the first events of the one that the request resumes
// began, and returns the request's id and the versions of at most count events.
func (e *rolloutStreams) read(address, resumes string, last, count int) (id string, status int, versions []string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/s/x", nil)
	if err != nil {
		e.t.Error(err)
		return "", 0, nil
	}
	id = fmt.Sprint("s", requestCount.Add(1))
	req.Host = "h"
	req.Header.Set("Vanillaroad-Request-Id", id)
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	for lines := bufio.NewScanner(answer.Body); len(versions) < count && lines.Scan(); {
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			versions = append(versions, version)
		}
	}
	return id, answer.StatusCode, versions
}

// stream reads one stream at a daemon. If again is not empty, the caller disconnects in the middle
// and takes the stream up there. Whether it must be complete is decided when it begins.
func (e *rolloutStreams) stream(address, again string, mustComplete func() bool) {
	complete := mustComplete()
	count := streamEvents
	if again != "" {
		count /= 3
	}
	id, status, versions := e.read(address, "", 0, count)
	if again != "" && len(versions) == count {
		_, _, rest := e.read(again, id, count-1, streamEvents)
		versions = append(versions, rest...)
		e.resumed.Add(1)
	}
	for _, version := range versions {
		if version != versions[0] {
			e.t.Errorf("a stream has events of %s and %s", versions[0], version)
			return
		}
	}
	switch {
	case len(versions) == streamEvents:
		e.streams.Add(1)
	case complete && mustComplete():
		e.t.Errorf("a stream has status %d and %d of %d events of %v, taken up: %v", status, len(versions), streamEvents, versions[:min(1, len(versions))], again != "")
	}
}

// TestStreamsDuringARollout guards against a stream that goes on at another version than the one that
// began it, when its target breaks it off or its caller takes it up at another daemon, and against
// streams that are cut because their version is limited.
func TestStreamsDuringARollout(t *testing.T) {
	t.Parallel()
	e := &rolloutStreams{testEnv: newTestEnv(t)}
	e.change = func(s *Settings) { s.Rollout = rolloutBlock }
	e.put(platform.ConfigurationKind, platform.ConfigurationName, map[string]any{"version": 1, "routes": []map[string]any{{
		"name": "s", "host": "h", "path_prefix": "/s/", "kind": "streaming", "resumable": true, "timeout_ms": 60000, "max_attempts": 5, "service": "s", "public": true,
	}}})
	e.startTarget("i-1-0", 1)
	e.startTarget("i-1-1", 1)
	var daemons []Settings
	for i := range 3 {
		s, _ := e.startDaemon(fmt.Sprint("vm-", i), e.store.Listener.Addr().String())
		daemons = append(daemons, s)
	}
	for _, s := range daemons {
		eventually(func() bool { _, status, _ := e.read(s.Callers, "", 0, 1); return status == http.StatusOK })
		eventually(func() bool { return len(e.gateways[s.ID].members.directory()) == 3 })
	}
	e.sends[0].Store(0)
	e.breaks.Store(true)

	var final atomic.Bool // streams may be cut at the end, when the old targets may stop
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, s := range daemons {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				again := ""
				if n%3 == 0 {
					again = daemons[(i+1)%len(daemons)].Callers
				}
				wg.Go(func() { e.stream(s.Callers, again, func() bool { return !final.Load() }) })
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v2", "duration_s": 12})
	e.startTarget("i-2-0", 2)
	e.startTarget("i-2-1", 2)
	eventually(func() bool {
		for _, g := range e.gateways {
			for _, v := range g.rollouts.describe("").Rollouts {
				if v.Phase == "switch" || v.Phase == "completing" || v.Phase == "ended" {
					final.Store(true)
				}
			}
		}
		return final.Load()
	})
	e.breaks.Store(false)
	var status struct{ State string }
	eventually(func() bool {
		o, err := e.storeClient.Get(context.Background(), platform.RolloutKind, "s")
		return err == nil && json.Unmarshal(o.Status, &status) == nil && (status.State == "completed" || status.State == "rolled_back")
	})
	sent, all := e.sends[1].Load(), e.sends[0].Load()+e.sends[1].Load()
	cancel()
	wg.Wait()
	t.Logf("%s: v2 got %d of %d sends; %d and %d were broken off, %d streams were taken up, %d are complete", status.State, sent, all, e.broken[0].Load(), e.broken[1].Load(), e.resumed.Load(), e.streams.Load())
	if status.State != "completed" {
		t.Errorf("the state is %s, want completed", status.State)
	}
	if float64(sent) > rolloutBlock.Slack+rolloutBlock.Share*float64(all) {
		t.Errorf("v2 got %d of %d sends", sent, all)
	}
	if e.broken[0].Load() == 0 || e.broken[1].Load() == 0 || e.resumed.Load() == 0 {
		t.Error("no stream of a version was broken off, or none was taken up")
	}
}

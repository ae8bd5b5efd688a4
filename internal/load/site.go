package load

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/internal/standin"
)

const (
	pollPeriod  = 200 * time.Millisecond // between two reads of counters
	readTimeout = time.Second            // of one read
)

// seen is what the processes of a site counted while a load ran.
type seen struct {
	work    standin.WorkCounts
	ledger  map[string]int
	daemons Daemons
	calls   map[string]int64
}

// Daemons is the processor time and memory that the daemons used.
type Daemons struct {
	CPUSeconds    float64 `json:"cpu_seconds"`
	ResidentBytes int64   `json:"resident_bytes"` // of all daemons, highest reading
	ReadBytes     int64   `json:"read_bytes"`
	WrittenBytes  int64   `json:"written_bytes"`
	// PeerBytes is what daemons sent to and received from each other, by slice.
	PeerBytes map[string]int64 `json:"peer_bytes,omitempty"`
}

// reader reads a site's counters again and again. Counters of a process that
// dies are kept as they were last read; one that starts again counts on top.
type reader struct {
	site   Site
	http   *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	work     map[string]*counters
	process  map[string]*counters
	calls    *counters
	resident int64
}

// watchSite starts to read; without a period it reads at the start and the end.
func watchSite(ctx context.Context, site Site, period time.Duration) *reader {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: readTimeout}).DialContext}
	r := &reader{
		site: site, http: &http.Client{Transport: transport, Timeout: readTimeout}, cancel: cancel,
		work: make(map[string]*counters), process: make(map[string]*counters), calls: newCounters(),
	}
	r.poll(ctx)
	if period == 0 {
		return r
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for pause.For(ctx, period) {
			r.poll(ctx)
		}
	}()
	return r
}

func (r *reader) end(ctx context.Context) seen {
	r.cancel()
	r.wg.Wait()
	r.poll(ctx)
	defer r.http.CloseIdleConnections()
	s := seen{ledger: r.ledger(ctx), calls: r.calls.grown()}
	work := make(map[string]int64)
	for _, c := range r.work {
		for k, v := range c.grown() {
			work[k] += v
		}
	}
	s.work = standin.WorkCounts{
		PrefillTokens: work["prefill_tokens"], CachedTokens: work["cached_tokens"], DecodeTokens: work["decode_tokens"],
		Streams: work["streams"], Canceled: work["canceled"],
	}
	for _, c := range r.process {
		grown := c.grown()
		s.daemons.CPUSeconds += float64(grown[cpuMetric]) / microsPerSecond
		s.daemons.ReadBytes += grown[readMetric]
		s.daemons.WrittenBytes += grown[writtenMetric]
		s.daemons.addPeerBytes(grown)
	}
	s.daemons.ResidentBytes = r.resident
	return s
}

// addPeerBytes takes the counters whose label names a slice.
func (d *Daemons) addPeerBytes(grown map[string]int64) {
	if d.PeerBytes == nil {
		d.PeerBytes = make(map[string]int64)
	}
	for name, n := range grown {
		if slice, ok := strings.CutPrefix(name, peerMetric); ok && n > 0 {
			d.PeerBytes[strings.Trim(slice, `{}"`)] += n
		}
	}
}

// poll reads all processes at once, so that a paused one delays no other.
func (r *reader) poll(ctx context.Context) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var resident int64
	each(&wg, r.site.Engines, func(a string) {
		now := make(map[string]int64)
		if r.read(ctx, "http://"+a+"/work", &now) == nil {
			mu.Lock()
			defer mu.Unlock()
			countersOf(r.work, a).see(now)
		}
	})
	each(&wg, r.site.Daemons, func(a string) {
		now, err := r.metrics(ctx, a)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			resident += now[residentMetric]
			delete(now, residentMetric)
			countersOf(r.process, a).see(now)
		}
	})
	if r.site.Platform != "" {
		now := make(map[string]int64)
		if r.read(ctx, "http://"+r.site.Platform+"/calls", &now) == nil {
			r.calls.see(now)
		}
	}
	wg.Wait()
	r.resident = max(r.resident, resident)
}

func each(wg *sync.WaitGroup, addresses []string, fn func(address string)) {
	for _, a := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(a)
		}()
	}
}

func (r *reader) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := r.http.Do(req)
	return resp, errors.Wrap(err, url)
}

func (r *reader) read(ctx context.Context, url string, out any) error {
	resp, err := r.get(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), url)
}

// Metrics of a daemon's own process.
const (
	cpuMetric       = "vanillaroad_process_cpu_micros"
	residentMetric  = "vanillaroad_process_resident_bytes"
	readMetric      = "vanillaroad_process_read_bytes"
	writtenMetric   = "vanillaroad_process_written_bytes"
	peerMetric      = "vanillaroad_peer_bytes{slice="
	microsPerSecond = 1e6
)

// metrics reads the metrics of a daemon's own process.
func (r *reader) metrics(ctx context.Context, address string) (map[string]int64, error) {
	resp, err := r.get(ctx, "http://"+address+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	out := make(map[string]int64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		switch name {
		case cpuMetric, residentMetric, readMetric, writtenMetric:
		default:
			if !strings.HasPrefix(name, peerMetric) {
				continue
			}
		}
		out[name], _ = strconv.ParseInt(value, 10, 64)
	}
	return out, errors.Wrap(lines.Err(), address)
}

// ledger adds up the bookings' ledgers.
func (r *reader) ledger(ctx context.Context) map[string]int {
	out := make(map[string]int)
	for _, a := range r.site.Bookings {
		now := make(map[string]int)
		if r.read(ctx, "http://"+a+"/ledger", &now) != nil {
			return nil
		}
		for k, n := range now {
			out[k] += n
		}
	}
	return out
}

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
	pollPeriod  = 200 * time.Millisecond // time between two readings of the counters
	readTimeout = time.Second            // of one HTTP request
)

// siteCounts holds the counts of a site's processes over one phase.
type siteCounts struct {
	work    standin.WorkCounts // of all engines
	ledger  map[string]int     // runs by key; nil if a ledger could not be read
	daemons DaemonUsage
	calls   map[string]int64 // calls to the platform
}

// DaemonUsage holds the resources that all daemons used together over one phase.
type DaemonUsage struct {
	CPUSeconds    float64 `json:"cpu_seconds"`
	ResidentBytes int64   `json:"resident_bytes"` // sum over all daemons, at its highest reading
	ReadBytes     int64   `json:"read_bytes"`
	WrittenBytes  int64   `json:"written_bytes"`
	// PeerBytes is the number of bytes that daemons sent to each other and received
	// from each other, by slice (the subsystem that sent them).
	PeerBytes map[string]int64 `json:"peer_bytes,omitempty"`
}

// siteReader reads the counters of a site's processes periodically. Counts of a
// process that has terminated are kept, and the counts after its restart are added.
type siteReader struct {
	site   Site
	http   *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	work             map[string]*counters // of engines, by address
	process          map[string]*counters // of daemons, by address
	calls            *counters            // of the platform
	maxResidentBytes int64
}

// startSiteReader reads the counters every period until stop is called. With a period
// of 0 it reads them only at the start and in stop.
func startSiteReader(ctx context.Context, site Site, period time.Duration) *siteReader {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: readTimeout}).DialContext}
	r := &siteReader{
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

// stop reads the counters one last time and returns the counts since the start.
func (r *siteReader) stop(ctx context.Context) siteCounts {
	r.cancel()
	r.wg.Wait()
	r.poll(ctx)
	defer r.http.CloseIdleConnections()
	s := siteCounts{ledger: r.readLedgers(ctx), calls: r.calls.increase()}
	work := make(map[string]int64)
	for _, c := range r.work {
		for k, v := range c.increase() {
			work[k] += v
		}
	}
	s.work = standin.WorkCounts{
		PrefillTokens: work["prefill_tokens"], CachedTokens: work["cached_tokens"], DecodeTokens: work["decode_tokens"],
		Streams: work["streams"], Canceled: work["canceled"],
	}
	for _, c := range r.process {
		increase := c.increase()
		s.daemons.CPUSeconds += float64(increase[cpuMicrosMetric]) / microsPerSecond
		s.daemons.ReadBytes += increase[readBytesMetric]
		s.daemons.WrittenBytes += increase[writtenBytesMetric]
		s.daemons.addPeerBytes(increase)
	}
	s.daemons.ResidentBytes = r.maxResidentBytes
	return s
}

// addPeerBytes adds the increase of the per-slice counters of peer traffic.
func (d *DaemonUsage) addPeerBytes(increase map[string]int64) {
	if d.PeerBytes == nil {
		d.PeerBytes = make(map[string]int64)
	}
	for name, n := range increase {
		if slice, ok := strings.CutPrefix(name, peerBytesPrefix); ok && n > 0 {
			d.PeerBytes[strings.Trim(slice, `{}"`)] += n
		}
	}
}

// poll reads the engines and daemons concurrently, so that a paused process does not
// delay the reading of the others.
func (r *siteReader) poll(ctx context.Context) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var resident int64
	forEachAddress(&wg, r.site.Engines, func(a string) {
		current := make(map[string]int64)
		if r.readJSON(ctx, "http://"+a+"/work", &current) == nil {
			mu.Lock()
			defer mu.Unlock()
			countersFor(r.work, a).observe(current)
		}
	})
	forEachAddress(&wg, r.site.Daemons, func(a string) {
		current, err := r.readMetrics(ctx, a)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			resident += current[residentBytesMetric]
			delete(current, residentBytesMetric)
			countersFor(r.process, a).observe(current)
		}
	})
	if r.site.Platform != "" {
		current := make(map[string]int64)
		if r.readJSON(ctx, "http://"+r.site.Platform+"/calls", &current) == nil {
			r.calls.observe(current)
		}
	}
	wg.Wait()
	r.maxResidentBytes = max(r.maxResidentBytes, resident)
}

// forEachAddress starts fn for each address in a goroutine counted by wg.
func forEachAddress(wg *sync.WaitGroup, addresses []string, fn func(address string)) {
	for _, a := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn(a)
		}()
	}
}

func (r *siteReader) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := r.http.Do(req)
	return resp, errors.Wrap(err, url)
}

func (r *siteReader) readJSON(ctx context.Context, url string, out any) error {
	resp, err := r.get(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), url)
}

// Names of the metrics that are read from daemons, and the unit of processor time.
const (
	cpuMicrosMetric     = "vanillaroad_process_cpu_micros"
	residentBytesMetric = "vanillaroad_process_resident_bytes"
	readBytesMetric     = "vanillaroad_process_read_bytes"
	writtenBytesMetric  = "vanillaroad_process_written_bytes"
	peerBytesPrefix     = "vanillaroad_peer_bytes{slice="
	microsPerSecond     = 1e6
)

// readMetrics reads the resource metrics of a daemon.
func (r *siteReader) readMetrics(ctx context.Context, address string) (map[string]int64, error) {
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
		case cpuMicrosMetric, residentBytesMetric, readBytesMetric, writtenBytesMetric:
		default:
			if !strings.HasPrefix(name, peerBytesPrefix) {
				continue
			}
		}
		out[name], _ = strconv.ParseInt(value, 10, 64)
	}
	return out, errors.Wrap(lines.Err(), address)
}

// readLedgers returns the number of runs of each key over all booking services, or
// nil if a ledger could not be read.
func (r *siteReader) readLedgers(ctx context.Context) map[string]int {
	out := make(map[string]int)
	for _, a := range r.site.Bookings {
		current := make(map[string]int)
		if r.readJSON(ctx, "http://"+a+"/ledger", &current) != nil {
			return nil
		}
		for k, n := range current {
			out[k] += n
		}
	}
	return out
}

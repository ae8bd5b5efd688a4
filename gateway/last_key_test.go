package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/platform"
)

// configApply is the time in which an accepted configuration is active at all daemons that are in
// contact with the store or with each other.
const configApply = 2 * time.Second

// keySite is a site whose configurations have the key k, or none.
type keySite struct {
	*testEnv
	daemons []Settings
	link    atomic.Bool // whether daemons that start with cutStore reach the store
	cut     string      // address of the store for these
	version int
	routes  int
}

func newKeySite(t *testing.T) *keySite {
	s := &keySite{testEnv: newTestEnv(t), routes: 1}
	s.link.Store(true)
	handler := s.platform.Handler()
	cut := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !s.link.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(rw, r)
	}))
	t.Cleanup(func() {
		cut.CloseClientConnections()
		cut.Close()
	})
	s.cut = cut.Listener.Addr().String()
	s.registerTarget("i-1", s.target)
	s.configureTenants(`[{"name":"w","api_keys":["k"]}]`)
	return s
}

// configureTenants writes the next version of the configuration.
func (s *keySite) configureTenants(tenants string) {
	s.version++
	var routes []string
	for i := range s.routes {
		routes = append(routes, fmt.Sprintf(`{"name":"a%d","host":"h","path_prefix":"/a%d/","kind":"idempotent","timeout_ms":5000,"max_attempts":2,"service":"s"}`, i, i))
	}
	s.putText(platform.ConfigurationKind, platform.ConfigurationName,
		fmt.Sprintf(`{"version":%d,"routes":[%s],"tenants":%s}`, s.version, strings.Join(routes, ","), tenants))
}

// start starts daemons that know those that run.
func (s *keySite) start(store string, ids ...string) {
	var seeds []string
	for _, d := range s.daemons {
		seeds = append(seeds, d.Peers)
	}
	for _, id := range ids {
		daemon, _ := s.startDaemon(id, store, seeds...)
		s.daemons, seeds = append(s.daemons, daemon), append(seeds, daemon.Peers)
	}
	for _, d := range s.daemons {
		eventually(func() bool { status, _ := get(d.Readiness, "/-/readiness"); return status == 200 })
	}
}

// awaitServed waits until all daemons serve requests with the key.
func (s *keySite) awaitServed() {
	for _, d := range s.daemons {
		eventually(func() bool { return getWithKey(d.Callers, "/a0/x", "k") == 200 })
	}
}

// TestLastKeyIsDroppedEverywhere guards against requests that run with the last key of a site, or
// with one that no configuration had, later than configApply after its workspace was removed. The
// change meets daemons that start or are cut off, restorations of the store, and other changes.
func TestLastKeyIsDroppedEverywhere(t *testing.T) {
	const none = `[]`
	for name, change := range map[string]func(*keySite){
		"in touch": func(s *keySite) {
			s.start(s.cut, "vm-1", "vm-2")
			s.awaitServed()
			s.configureTenants(none)
		},
		"a daemon starts at the same time": func(s *keySite) {
			s.start(s.cut, "vm-1")
			s.awaitServed()
			daemon, _ := s.startDaemon("vm-2", s.cut, s.daemons[0].Peers)
			s.daemons = append(s.daemons, daemon)
			s.configureTenants(none)
		},
		"a daemon starts later": func(s *keySite) {
			s.start(s.cut, "vm-1")
			s.awaitServed()
			s.configureTenants(none)
			s.start(s.cut, "vm-2")
		},
		"a daemon starts later without the store": func(s *keySite) {
			s.start(s.store.Listener.Addr().String(), "vm-1")
			s.awaitServed()
			s.configureTenants(none)
			s.link.Store(false)
			time.Sleep(configApply)
			s.start(s.cut, "vm-2")
		},
		"one of three daemons reaches the store": func(s *keySite) {
			s.start(s.store.Listener.Addr().String(), "vm-1")
			s.start(s.cut, "vm-2", "vm-3")
			s.awaitServed()
			s.link.Store(false)
			s.configureTenants(none)
		},
		"no daemon reaches the store for a while": func(s *keySite) {
			s.start(s.cut, "vm-1", "vm-2")
			s.awaitServed()
			s.link.Store(false)
			s.configureTenants(none)
			time.Sleep(3 * time.Second)
			s.link.Store(true)
		},
		"the store comes back older": func(s *keySite) {
			s.start(s.cut, "vm-1")
			s.awaitServed()
			restore := s.copyStore()
			s.configureTenants(none)
			time.Sleep(configApply)
			restore()
			s.start(s.cut, "vm-2")
		},
		"the store comes back older and is written again": func(s *keySite) {
			s.start(s.cut, "vm-1", "vm-2")
			s.awaitServed()
			restore := s.copyStore()
			s.configureTenants(none)
			restore()
			s.version--
			s.configureTenants(none)
		},
		"many versions in series": func(s *keySite) {
			s.start(s.cut, "vm-1", "vm-2", "vm-3")
			s.awaitServed()
			for range 50 {
				s.configureTenants(`[{"name":"w","api_keys":["k"]},{"name":"x","api_keys":["l"]}]`)
			}
			s.configureTenants(none)
		},
		"many routes": func(s *keySite) {
			s.routes = 3000
			s.configureTenants(`[{"name":"w","api_keys":["k"]}]`)
			s.start(s.cut, "vm-1", "vm-2", "vm-3")
			s.awaitServed()
			s.configureTenants(none)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newKeySite(t)
			change(s)
			time.Sleep(configApply)
			for range 50 {
				for _, d := range s.daemons {
					for _, key := range []string{"k", "unknown"} {
						if status := getWithKey(d.Callers, "/a0/x", key); status == 200 {
							t.Fatalf("%s served a request with the key %s", d.ID, key)
						}
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			for _, d := range s.daemons {
				if status := getWithKey(d.Callers, "/a0/x", "k"); status != 401 {
					t.Errorf("%s answers with status %d, want 401", d.ID, status)
				}
			}
		})
	}
}

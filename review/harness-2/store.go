package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name        string   `json:"name"`
		Revision    int64    `json:"revision"`
		Created     int64    `json:"created"`
		Finalizers  []string `json:"finalizers"`
		Terminating bool     `json:"terminating"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// state is everything that the store holds at one moment.
type state struct {
	at      time.Time
	objects map[string]object // by KIND/NAME
	rev     int64
}

// changed is one change of an object, for those who watch its kind.
type changed struct {
	rev int64
	key string
	event
}

// event is a change as a watch reports it.
type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store is a stand-in of the platform's store, form "objects". It loses what it has acknowledged
// only by restore.
type store struct {
	mu   sync.Mutex
	now  state
	past []state
	log  []changed // all changes that led to now
	era  int64
	away bool
}

func newStore() *store {
	return &store{now: state{objects: make(map[string]object), rev: firstRevision}, era: 1}
}

// change applies one change. mu is held.
func (s *store) change(key string, o *object) {
	s.past = append(s.past, s.now)
	next := state{at: time.Now(), objects: make(map[string]object, len(s.now.objects)+1), rev: s.now.rev + 1}
	for k, v := range s.now.objects {
		next.objects[k] = v
	}
	if o == nil {
		gone := next.objects[key]
		gone.Metadata.Revision = next.rev
		s.log = append(s.log, changed{next.rev, key, event{true, gone}})
		delete(next.objects, key)
	} else {
		o.Metadata.Revision = next.rev
		if o.Metadata.Created == 0 {
			o.Metadata.Created = next.rev
		}
		next.objects[key] = *o
		s.log = append(s.log, changed{next.rev, key, event{false, *o}})
	}
	s.now = next
}

// put writes the spec of an object as an operator or an engine does.
func (s *store) put(kind, name string, spec any) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.now.objects[kind+"/"+name]
	if string(o.Spec) == string(body) {
		return
	}
	o.Metadata.Name, o.Spec = name, body
	s.change(kind+"/"+name, &o)
}

// remove deletes an object as an engine does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.now.objects[kind+"/"+name]; ok {
		s.change(kind+"/"+name, nil)
	}
}

// isAway reports whether the store answers nobody.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore brings the store back from the copy that was made at a time, in the next era.
func (s *store) restore(copyAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.past) > 0 && s.now.at.After(copyAt) {
		s.now, s.past = s.past[len(s.past)-1], s.past[:len(s.past)-1]
	}
	for len(s.log) > 0 && s.log[len(s.log)-1].rev > s.now.rev {
		s.log = s.log[:len(s.log)-1]
	}
	s.era++
	s.away = false
}

// firstRevision is the revision of the empty store.
const firstRevision = 100

// watch answers with the changes of a kind after a revision, as soon as there is one or the wait is
// over. It answers 410 for a revision that the store doesn't have.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after int64) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		events := []event{}
		for _, c := range s.log {
			if c.rev > after && strings.HasPrefix(c.key, kind+"/") {
				events = append(events, c.event)
			}
		}
		switch {
		case s.away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after > s.now.rev || after < firstRevision:
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !time.Now().Before(end) || r.Context().Err() != nil:
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			reply(w, http.StatusOK, map[string]any{"events": events, "at": s.now.rev})
			return
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if kind, ok := strings.CutPrefix(r.URL.Path, "/-/objects/"); ok && r.Method == http.MethodGet && !strings.Contains(kind, "/") && r.URL.Query().Has("watch") {
		after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.watch(w, r, kind, after)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	path, isObject := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !isObject {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	key := kind + "/" + name
	found, exists := s.now.objects[key]
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := sent.Metadata.Revision
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = n
	}
	switch {
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		key = kind + "/" + sent.Metadata.Name
		if found, exists = s.now.objects[key]; exists {
			reply(w, http.StatusConflict, found)
			return
		}
		sent.Metadata.Revision = 0
		s.change(key, &sent)
		reply(w, http.StatusOK, s.now.objects[key])
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, found)
	case expected != 0 && expected != found.Metadata.Revision:
		reply(w, http.StatusConflict, found)
	case r.Method == http.MethodDelete:
		s.change(key, nil)
		reply(w, http.StatusOK, found)
	case r.Method == http.MethodPut:
		before, _ := json.Marshal(found)
		if isStatus {
			found.Status = sent.Status
		} else {
			found.Spec, found.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		}
		if after, _ := json.Marshal(found); string(after) != string(before) {
			s.change(key, &found)
		}
		reply(w, http.StatusOK, s.now.objects[key])
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// list answers with the objects of a kind. mu is held.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	for key, o := range s.now.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.now.rev})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

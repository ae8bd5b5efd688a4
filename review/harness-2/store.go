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

// store is a stand-in of the platform's store, form "objects". It loses what it has acknowledged
// only by restore.
type store struct {
	mu   sync.Mutex
	now  state
	past []state
	era  int64
	away bool
}

func newStore() *store {
	return &store{now: state{objects: make(map[string]object), rev: 100}, era: 1}
}

// change applies one change. mu is held.
func (s *store) change(key string, o *object) {
	s.past = append(s.past, s.now)
	next := state{at: time.Now(), objects: make(map[string]object, len(s.now.objects)+1), rev: s.now.rev + 1}
	for k, v := range s.now.objects {
		next.objects[k] = v
	}
	if o == nil {
		delete(next.objects, key)
	} else {
		o.Metadata.Revision = next.rev
		if o.Metadata.Created == 0 {
			o.Metadata.Created = next.rev
		}
		next.objects[key] = *o
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
	s.era++
	s.away = false
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if isStatus {
			found.Status = sent.Status
		} else {
			found.Spec = sent.Spec
		}
		s.change(key, &found)
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

package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// maxCopyAge is the maximum age of the copies from which a Platform can be restored.
const maxCopyAge = time.Minute

// Restoration replaces the store by an older copy of itself.
type Restoration struct {
	AgeMillis  int `json:"age_ms"`  // age of the copy, at most maxCopyAge
	DownMillis int `json:"down_ms"` // how long the store answers every call with 503 before
}

// change is one write, with what it replaced.
type change struct {
	at       time.Time
	key      string
	previous objectstore.Object // its zero value if there was none
	revision int64              // of the store before the write
}

// recordChange adds the write of an object, which is about to happen, to the history. The
// caller holds the lock.
func (p *Platform) recordChange(key string) {
	now := time.Now()
	for len(p.history) > 0 && now.Sub(p.history[0].at) > maxCopyAge {
		p.history = p.history[1:]
	}
	p.history = append(p.history, change{now, key, p.objects[key], p.revision})
}

// Restore loses all writes that are younger than the copy, also the acknowledged ones, and
// begins the next era. Revisions are given out again from that of the copy. Watches end.
func (p *Platform) Restore(r Restoration) {
	if r.DownMillis > 0 {
		f := p.currentFaults()
		down := f
		down.Down = true
		p.SetFaults(down)
		time.Sleep(time.Duration(r.DownMillis) * time.Millisecond)
		defer p.SetFaults(f)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Now().Add(-time.Duration(r.DownMillis+r.AgeMillis) * time.Millisecond)
	for len(p.history) > 0 && p.history[len(p.history)-1].at.After(since) {
		last := p.history[len(p.history)-1]
		p.history = p.history[:len(p.history)-1]
		p.revision = last.revision
		if last.previous.Name == "" {
			delete(p.objects, last.key)
		} else {
			p.objects[last.key] = last.previous
		}
	}
	p.era++
	p.notifyWatchers()
}

func (p *Platform) currentEra() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// writeEra states the era of an answer in its header.
func writeEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

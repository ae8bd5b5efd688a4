package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// maxCacheEvents is the maximum number of stored cache events. Older events can no
// longer be read, so a reader sees a gap in the sequence.
const maxCacheEvents = 4096

// cacheEventLog holds the newest cache events of an engine. The zero value is empty.
type cacheEventLog struct {
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event target.CacheEvent
}

// add numbers an event and stores it. If gapEvery is positive, it numbers every
// gapEvery-th event but drops it.
func (l *cacheEventLog) add(c target.CacheEvent, now time.Time, gapEvery int64) {
	l.sequence++
	if gapEvery > 0 && l.sequence%gapEvery == 0 {
		return
	}
	c.Sequence = l.sequence
	l.events = append(l.events, timedEvent{now, c})
	if len(l.events) > maxCacheEvents {
		l.events = append([]timedEvent(nil), l.events[maxCacheEvents/2:]...)
	}
}

// read returns the events after a sequence number that are at least lag old.
func (l *cacheEventLog) read(afterSequence int64, now time.Time, lag time.Duration) []target.CacheEvent {
	out := []target.CacheEvent{}
	for _, t := range l.events {
		if t.event.Sequence > afterSequence && now.Sub(t.at) >= lag {
			out = append(out, t.event)
		}
	}
	return out
}

// accessBlocks adds the blocks of a prompt to the cache and evicts the least recently
// used blocks beyond CacheBlocks. It returns how many leading blocks of the prompt were
// already cached.
func (e *Engine) accessBlocks(blocks []uint64) int {
	var leading int
	for i, b := range blocks {
		if el := e.cache[b]; el != nil {
			e.lru.MoveToFront(el)
			if leading == i {
				leading++
			}
			continue
		}
		e.cache[b] = e.lru.PushFront(b)
		e.publish(target.CacheEvent{Block: b})
	}
	for e.lru.Len() > e.settings.CacheBlocks {
		el := e.lru.Back()
		b := e.lru.Remove(el).(uint64)
		delete(e.cache, b)
		e.publish(target.CacheEvent{Block: b, Dropped: true})
	}
	return leading
}

func (e *Engine) publish(c target.CacheEvent) { e.eventLog.add(c, time.Now(), e.faults.CacheGapEvery) }

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	afterSequence, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := e.eventLog.read(afterSequence, time.Now(), time.Duration(e.faults.CacheLagMillis)*time.Millisecond)
	e.mu.Unlock()
	writeJSON(w, out)
}

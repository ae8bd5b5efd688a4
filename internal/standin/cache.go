package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// keptEvents bounds the cache events that can still be read; older ones are a gap.
const keptEvents = 4096

// cacheFeed keeps the newest cache events of an engine. The zero feed is empty.
type cacheFeed struct {
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event target.CacheEvent
}

// add numbers an event and keeps it unless it is one of those that get lost.
func (f *cacheFeed) add(c target.CacheEvent, now time.Time, gapEvery int64) {
	f.sequence++
	if gapEvery > 0 && f.sequence%gapEvery == 0 {
		return
	}
	c.Sequence = f.sequence
	f.events = append(f.events, timedEvent{now, c})
	if len(f.events) > keptEvents {
		f.events = append([]timedEvent(nil), f.events[keptEvents/2:]...)
	}
}

// read returns the events after a sequence number that are old enough.
func (f *cacheFeed) read(after int64, now time.Time, lag time.Duration) []target.CacheEvent {
	out := []target.CacheEvent{}
	for _, t := range f.events {
		if t.event.Sequence > after && now.Sub(t.at) >= lag {
			out = append(out, t.event)
		}
	}
	return out
}

// touch takes the prompt's blocks into the cache and returns how many led.
func (e *Engine) touch(blocks []uint64) int {
	var leading int
	for i, b := range blocks {
		if el := e.cache[b]; el != nil {
			e.recent.MoveToFront(el)
			if leading == i {
				leading++
			}
			continue
		}
		e.cache[b] = e.recent.PushFront(b)
		e.publish(target.CacheEvent{Block: b})
	}
	for e.recent.Len() > e.settings.CacheBlocks {
		el := e.recent.Back()
		b := e.recent.Remove(el).(uint64)
		delete(e.cache, b)
		e.publish(target.CacheEvent{Block: b, Dropped: true})
	}
	return leading
}

func (e *Engine) publish(c target.CacheEvent) { e.feed.add(c, time.Now(), e.faults.CacheGapEvery) }

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := e.feed.read(after, time.Now(), time.Duration(e.faults.CacheLagMillis)*time.Millisecond)
	e.mu.Unlock()
	answer(w, out)
}

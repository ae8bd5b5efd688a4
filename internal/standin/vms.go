package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// vmList is a VM list and the time from which readers see it.
type vmList struct {
	visibleFrom time.Time
	vms         []objectstore.VM
}

// SetVMs replaces the VM list. Readers see the new list after VMLagMillis.
func (p *Platform) SetVMs(vms []objectstore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.VMLagMillis) * time.Millisecond
	p.vms = append(p.vms, vmList{time.Now().Add(lag), vms})
}

// visibleVMs returns the list that readers see at now and removes older ones. The
// caller holds the lock.
func (p *Platform) visibleVMs(now time.Time) []objectstore.VM {
	for len(p.vms) > 1 && !now.Before(p.vms[1].visibleFrom) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || now.Before(p.vms[0].visibleFrom) {
		return []objectstore.VM{}
	}
	return append([]objectstore.VM{}, p.vms[0].vms...)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.visibleVMs(time.Now())
	p.mu.Unlock()
	writeJSON(w, vms)
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []objectstore.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

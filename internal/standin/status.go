package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
)

// putStatus replaces the status of an object and leaves its value. The revision is mandatory: a
// status is about the object that its writer has read.
func (p *Platform) putStatus(w http.ResponseWriter, r *http.Request) {
	var o objectJSON
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Revision == 0 || len(o.Status) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.currentObject(w, r, o.Metadata.Revision)
	switch {
	case !ok:
	case bytes.Equal(old.Status, o.Status): // an unchanged status keeps its version
		writeJSON(w, toJSON(old))
	default:
		old.Status = o.Status
		p.storeObject(w, objectKey(r), old)
	}
}

package lint

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/vanillaroad/vanillaroad/ingress"
)

// CheckVersion returns an error if a version does not follow the active one: daemons keep the
// active configuration then.
func CheckVersion(active, next int64) []Finding {
	if next > active {
		return nil
	}
	return []Finding{{Error, VersionNotIncreased, entry(Configuration, 0, "").field(Version),
		fmt.Sprintf("version %d is not above the active version %d, so daemons ignore it", next, active)}}
}

// Compare returns the entries that next adds to, removes from and changes in the active
// configuration, by kind and name. Of entries with the same name, the first is compared with
// the first, and so on. Messages contain the number of a workspace's keys and a hash, no keys.
func Compare(active, next ingress.Document) []Finding {
	var out []Finding
	out = append(out, changedEntry(entry(Limits, 0, ""), limitsFields(active.Limits), limitsFields(next.Limits))...)
	out = append(out, changedEntry(entry(Configuration, 0, "").field(Workspaces), keysRequired(active), keysRequired(next))...)
	out = append(out, compareLists(Route, active.Routes, next.Routes, routeFields)...)
	out = append(out, compareLists(Service, active.Services, next.Services, serviceFields)...)
	return append(out, compareLists(Workspace, active.Workspaces, next.Workspaces, workspaceFields)...)
}

// attribute is a field of an entry as text.
type attribute struct{ name, value string }

func routeFields(r ingress.Route) (name string, fields []attribute) {
	var services []string
	for _, s := range r.Services {
		services = append(services, fmt.Sprintf("%q:%d", s.Service, s.Weight))
	}
	return r.Name, []attribute{
		{"host", strconv.Quote(r.Host)}, {"path prefix", strconv.Quote(r.Prefix)}, {"kind", r.Kind.String()},
		{"services", "[" + strings.Join(services, " ") + "]"}, {"resumable", strconv.FormatBool(r.Resumable)},
		{"timeout", r.Timeout.String()}, {"latency objective", r.LatencyObjective.String()}, {"maximum event gap", r.MaxEventGap.String()},
		{"maximum attempts", strconv.Itoa(r.MaxAttempts)}, {"priority", strconv.Itoa(r.Priority)}, {"public", strconv.FormatBool(r.Public)},
	}
}

func serviceFields(s ingress.Service) (name string, fields []attribute) {
	m := ingress.Model{}
	if s.Model != nil {
		m = *s.Model
	}
	return s.Name, []attribute{
		{"maximum connections", strconv.Itoa(s.MaxConnections)}, {"model", strconv.FormatBool(s.Model != nil)},
		{"KV cache tokens", strconv.Itoa(m.KVCacheTokens)}, {"standby copies", strconv.FormatBool(m.StandbyCopies)},
		{"copy retention", m.CopyRetention.String()}, {"maximum reservation", m.MaxReservation.String()},
	}
}

func workspaceFields(w ingress.Workspace) (name string, fields []attribute) {
	priority := "that of the route"
	if w.HasPriority {
		priority = strconv.Itoa(w.Priority)
	}
	return w.Name, []attribute{{"keys", fmt.Sprintf("%d (hash %s)", len(w.Keys), hashKeys(w.Keys))}, {"priority", priority}}
}

func limitsFields(l ingress.Limits) []attribute {
	return []attribute{
		{"header limit", strconv.Itoa(l.HeaderBytes)}, {"body limit", strconv.FormatInt(l.BodyBytes, 10)},
		{"header timeout", l.HeaderTimeout.String()}, {"idle timeout", l.IdleTimeout.String()},
	}
}

func keysRequired(d ingress.Document) []attribute {
	return []attribute{{"keys required", strconv.FormatBool(d.RequiresKeys)}}
}

// hashKeys returns a hash of a set of keys, which shows whether two sets differ. A guess can be
// checked against it, so it protects only keys that are random.
func hashKeys(keys []string) string {
	sorted := append([]string(nil), keys...)
	sort.Strings(sorted)
	h := sha256.New()
	for _, k := range sorted {
		_, _ = fmt.Fprintf(h, "%d:%s", len(k), k) // the length separates the keys
	}
	return hex.EncodeToString(h.Sum(nil)[:4])
}

// changedEntry returns a finding if fields of an entry differ.
func changedEntry(s Subject, old, next []attribute) []Finding {
	var changes []string
	for i := range old {
		if old[i] != next[i] {
			changes = append(changes, fmt.Sprintf("%s %s to %s", old[i].name, old[i].value, next[i].value))
		}
	}
	if len(changes) == 0 {
		return nil
	}
	return []Finding{{Change, Changed, s, describe(s) + ": " + strings.Join(changes, ", ")}}
}

func describe(s Subject) string {
	if s.Kind == Configuration || s.Kind == Limits {
		return string(s.Kind)
	}
	return fmt.Sprintf("%s %q", s.Kind, s.Name)
}

// compareLists compares the entries of a kind.
func compareLists[T any](kind Kind, active, next []T, fields func(T) (string, []attribute)) []Finding {
	type key struct {
		name       string
		occurrence int
	}
	index := func(list []T) (keys []key, byKey map[key][]attribute) {
		count := make(map[string]int)
		byKey = make(map[key][]attribute)
		for _, e := range list {
			name, f := fields(e)
			k := key{name, count[name]}
			count[name]++
			keys, byKey[k] = append(keys, k), f
		}
		return keys, byKey
	}
	oldKeys, old := index(active)
	nextKeys, added := index(next)
	var out []Finding
	for i, k := range nextKeys {
		s := entry(kind, i, k.name)
		if before, ok := old[k]; ok {
			out = append(out, changedEntry(s, before, added[k])...)
			continue
		}
		out = append(out, Finding{Change, Added, s, describe(s) + " is added"})
	}
	for _, k := range oldKeys {
		if _, ok := added[k]; !ok {
			s := entry(kind, None, k.name)
			out = append(out, Finding{Change, Removed, s, describe(s) + " is removed"})
		}
	}
	return out
}

package discovery

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
)

// Table holds the state of each endpoint as its entries in the store show it. The
// zero value is an empty table. It reads no clock: callers pass the time.
type Table struct {
	sights map[string]sight
}

// sight is the last observed state of one endpoint.
type sight struct {
	service  string
	endpoint configuration.Endpoint
	revision int64
	// gone is true while the entry is missing. The endpoint stays in use up to
	// until. After that left is true, and until holds when that was noticed.
	gone  bool
	until time.Time
	left  bool
}

// leftMemory is how long the table holds an endpoint that has left.
const leftMemory = time.Minute

// Put records an entry. It reports whether the service, the endpoint's description
// or its presence changed. Entries older than the recorded one are ignored.
func (t *Table) Put(service string, e configuration.Endpoint, revision int64) bool {
	known, found := t.sights[e.Name]
	if found && revision < known.revision {
		return false
	}
	if t.sights == nil {
		t.sights = map[string]sight{}
	}
	t.sights[e.Name] = sight{service: service, endpoint: e, revision: revision}
	return !found || known.gone || known.service != service || !reflect.DeepEqual(known.endpoint, e)
}

// Remove records that an entry is missing and reports whether that is a change.
// The endpoint stays in use up to the given time, because its entry may have lapsed
// in an outage of the store while the endpoint is alive.
func (t *Table) Remove(name string, revision int64, until time.Time) bool {
	known, found := t.sights[name]
	if !found || revision < known.revision || known.gone {
		return false
	}
	if known.endpoint.Leaving {
		// The endpoint announced that it leaves, so its entry will not return.
		until = time.Time{}
	}
	known.gone, known.until, known.revision = true, until, revision
	t.sights[name] = known
	return true
}

// Expire marks the endpoints as left whose entries did not come back in time, and
// reports whether there were any. It deletes those that left long ago.
func (t *Table) Expire(now time.Time) bool {
	expired := false
	for name, s := range t.sights {
		switch {
		case !s.gone || now.Before(s.until):
		case !s.left:
			s.left, s.until = true, now
			t.sights[name] = s
			expired = true
		case now.Sub(s.until) > leftMemory:
			delete(t.sights, name)
		}
	}
	return expired
}

// Left returns the names of the endpoints that have left.
func (t *Table) Left() map[string]bool {
	left := map[string]bool{}
	for name, s := range t.sights {
		if s.left {
			left[name] = true
		}
	}
	return left
}

// Names returns the names of the endpoints that have an entry in the store.
func (t *Table) Names() []string {
	var names []string
	for name, s := range t.sights {
		if !s.gone {
			names = append(names, name)
		}
	}
	return names
}

// ByService returns the endpoints in use by service, sorted by name.
func (t *Table) ByService() map[string][]configuration.Endpoint {
	services := map[string][]configuration.Endpoint{}
	for _, s := range t.sights {
		if !s.left {
			services[s.service] = append(services[s.service], s.endpoint)
		}
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b configuration.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	}
	return services
}

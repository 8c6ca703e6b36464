package discovery

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
)

// Table is what is known of the endpoints from their entries. The zero value is
// empty. It reads no clock: each call brings the time.
type Table struct {
	sights map[string]sight
}

// sight is what was last seen of one endpoint.
type sight struct {
	service  string
	endpoint configuration.Endpoint
	revision int64
	// gone is set when the entry is missing; until then the endpoint is used, and
	// after that it has left.
	gone  bool
	until time.Time
	left  bool
}

// leftMemory is how long an endpoint that left is remembered.
const leftMemory = time.Minute

// Put takes in an entry. It tells whether anything changed that matters.
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

// Remove takes in that an entry is gone. The endpoint is used until the time
// given: an entry may lapse with the store while its endpoint lives.
func (t *Table) Remove(name string, revision int64, until time.Time) bool {
	known, found := t.sights[name]
	if !found || revision < known.revision || known.gone {
		return false
	}
	if known.endpoint.Leaving {
		// It said itself that it leaves: it will not be back.
		until = time.Time{}
	}
	known.gone, known.until, known.revision = true, until, revision
	t.sights[name] = known
	return true
}

// Expire takes endpoints whose entries did not come back as having left, and
// tells whether there were any.
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

// Left gives the endpoints that are known to have left.
func (t *Table) Left() map[string]bool {
	left := map[string]bool{}
	for name, s := range t.sights {
		if s.left {
			left[name] = true
		}
	}
	return left
}

// Names gives the endpoints whose entries stand.
func (t *Table) Names() []string {
	var names []string
	for name, s := range t.sights {
		if !s.gone {
			names = append(names, name)
		}
	}
	return names
}

// ByService gives the endpoints in use, in order of name.
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

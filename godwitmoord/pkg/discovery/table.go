package discovery

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// Table holds the state of each endpoint as its entries in the store show it. The
// zero value is an empty table. It reads no clock: callers pass the time.
type Table struct {
	observations map[string]observation
	// leaving holds, by name, when the endpoint was born that said itself that it is
	// leaving. It ends with the next run of the endpoint's process.
	leaving map[string]int64
}

// Empty reports whether the table knows no endpoint.
func (t *Table) Empty() bool { return len(t.observations) == 0 }

// maxLeaving bounds the endpoints whose own word is held.
const maxLeaving = 4096

// observation is the last observed state of one endpoint.
type observation struct {
	service  string
	endpoint configuration.Endpoint
	revision int64
	// written is the revision of the entry, also once it is missing.
	written int64
	// missing is true while the endpoint has no entry in the store. The endpoint
	// stays in use until the first Expire at or after inUseUntil, which sets left.
	// Before left is set, inUseUntil is the end of use; afterwards it is when left
	// was set.
	missing    bool
	inUseUntil time.Time
	left       bool
}

// leftRetention is how long the table holds an endpoint that has left.
const leftRetention = time.Minute

// Put records an entry. It reports whether the service, the endpoint's
// description or whether it is in the store changed. Entries older than the
// recorded one are ignored.
func (t *Table) Put(service string, e configuration.Endpoint, revision int64) bool {
	previous, found := t.observations[e.Name]
	if found && revision < previous.revision {
		return false
	}
	if t.observations == nil {
		t.observations = map[string]observation{}
	}
	e.Leaving = e.Leaving || previous.isLeavingDespite(e, revision)
	if born, said := t.leaving[e.Name]; said && (e.Born > born || (e.Born == 0 && previous.missing)) {
		delete(t.leaving, e.Name)
	}
	t.observations[e.Name] = observation{service: service, endpoint: e, revision: revision, written: revision}
	return !found || previous.missing || previous.service != service || !reflect.DeepEqual(previous.endpoint, e)
}

// isLeavingDespite reports whether an endpoint is leaving although an entry does not say
// so: the entry is from a restored copy, taken before the endpoint wrote that it leaves. It
// holds until the endpoint writes its entry again.
func (o observation) isLeavingDespite(e configuration.Endpoint, revision int64) bool {
	era, known := keyvalue.EraOf(revision), keyvalue.EraOf(o.revision)
	isCopied := era > known || (era > 0 && revision == o.revision)
	return isCopied && !o.missing && o.endpoint.Leaving && o.endpoint.Born == e.Born
}

// LeftBefore reports whether an entry was already there before the endpoint left, in an
// earlier era of the store: a copy from before its leaving brought it back. An endpoint
// that lives writes its entry again, at another revision.
func (t *Table) LeftBefore(e configuration.Endpoint, revision int64) bool {
	previous, found := t.observations[e.Name]
	if !found || !previous.missing || keyvalue.EraOf(revision) <= keyvalue.EraOf(previous.revision) {
		return false
	}
	return keyvalue.WithoutEra(revision) == keyvalue.WithoutEra(previous.written) && reflect.DeepEqual(previous.endpoint, e)
}

// MarkLeaving records that the run of an endpoint's process that was born at the given
// time said itself that it is leaving, and reports whether that is a change.
func (t *Table) MarkLeaving(name string, born int64) bool {
	known, said := t.leaving[name]
	if (said && known >= born) || (!said && len(t.leaving) >= maxLeaving) || t.observations[name].endpoint.Born > born {
		return false
	}
	if t.leaving == nil {
		t.leaving = map[string]int64{}
	}
	t.leaving[name] = born
	return true
}

// MarkMissing records that an entry is missing and reports whether that is a change.
// The endpoint stays in use up to the given time, because its entry may have lapsed
// in an outage of the store while the endpoint is alive. A leaving endpoint is out
// of use at the next Expire.
func (t *Table) MarkMissing(name string, revision int64, until time.Time) bool {
	observed, found := t.observations[name]
	if !found || revision < observed.revision || observed.left {
		return false
	}
	if observed.missing {
		// Another host may know that it has less time left.
		observed.inUseUntil = earlier(observed.inUseUntil, until)
		t.observations[name] = observed
		return false
	}
	if _, said := t.leaving[name]; said || observed.endpoint.Leaving {
		// The endpoint announced that it leaves, so its entry will not return.
		until = time.Time{}
	}
	observed.missing, observed.inUseUntil, observed.revision = true, until, revision
	t.observations[name] = observed
	return true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expire marks the endpoints as left whose entries did not come back in time, and
// reports whether there were any. It deletes those that left long ago.
func (t *Table) Expire(now time.Time) bool {
	expired := false
	for name, observed := range t.observations {
		switch {
		case !observed.missing || now.Before(observed.inUseUntil):
		case !observed.left:
			observed.left, observed.inUseUntil = true, now
			t.observations[name] = observed
			expired = true
		case now.Sub(observed.inUseUntil) > leftRetention:
			delete(t.observations, name)
			delete(t.leaving, name)
		}
	}
	return expired
}

// Left returns the names of the endpoints that left within about the last
// leftRetention and have not come back, and of those without an entry that said
// themselves that they are leaving.
func (t *Table) Left() map[string]bool {
	left := map[string]bool{}
	for name, observed := range t.observations {
		if observed.left {
			left[name] = true
		}
	}
	for name := range t.leaving {
		if _, found := t.observations[name]; !found {
			left[name] = true
		}
	}
	return left
}

// PresentNames returns the names of the endpoints that have an entry in the store,
// sorted.
func (t *Table) PresentNames() []string {
	var names []string
	for name, observed := range t.observations {
		if !observed.missing {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ByService returns the endpoints in use by service, sorted by name.
func (t *Table) ByService() map[string][]configuration.Endpoint {
	services := map[string][]configuration.Endpoint{}
	for _, observed := range t.observations {
		if observed.left {
			continue
		}
		e := observed.endpoint
		if _, said := t.leaving[e.Name]; said {
			e.Leaving = true
		}
		services[observed.service] = append(services[observed.service], e)
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b configuration.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	}
	return services
}

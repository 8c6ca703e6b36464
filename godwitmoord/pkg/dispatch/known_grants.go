package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
)

const (
	// maxKnownProcesses bounds the processes whose grants for one service are known.
	maxKnownProcesses = 64
	// reportRetention times the quota window is how long a report is kept. Its grants leave
	// the window before that; it then only shows that another host passes on an old one.
	reportRetention = 4
	// knownFor is how long a host that was told all grants counts as knowing them. Owners
	// tell their successors once a second at least.
	knownFor = 2500 * time.Millisecond
)

// knownReport holds what a process granted for a service, with the ages at the time when it
// became known here.
type knownReport struct {
	process host.Identity
	// number rises with each report of the process for the service; zero if it is not
	// known.
	number int64
	usage  []permit.QuotaUsage
	at     time.Time
}

// usageAt returns the grants that are still in the quota window, with their ages at now.
func (r knownReport) usageAt(now time.Time, window time.Duration) []permit.QuotaUsage {
	var usage []permit.QuotaUsage
	for _, s := range r.usage {
		if s.Age += now.Sub(r.at); s.Age < window {
			usage = append(usage, s)
		}
	}
	return usage
}

// knownGrants holds what this host knows of the grants of other processes for one service,
// from their pages in the store and from their reports to hosts. The zero value knows of
// none.
type knownGrants struct {
	mu      sync.Mutex
	reports map[host.Identity]knownReport
	// completeAt is when this host last knew all grants of the window; zero if it does not
	// know them.
	completeAt time.Time
	// changed is set if grants became known since takeChange was last called.
	changed bool
}

// learn adds reports of other processes. isComplete is set if they and those known before
// hold all grants of the window.
func (k *knownGrants) learn(reports []knownReport, isComplete bool, window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for process, r := range k.reports {
		if now.Sub(r.at) > reportRetention*window {
			delete(k.reports, process)
		}
	}
	for _, r := range reports {
		k.add(r, now, window)
	}
	if isComplete {
		k.completeAt = now
	}
}

// add adds one report, unless a later one of its process is known; k.mu is held.
func (k *knownGrants) add(r knownReport, now time.Time, window time.Duration) {
	before, known := k.reports[r.process]
	if known && r.number > 0 && before.number >= r.number {
		return
	}
	if !known && (len(r.usageAt(now, window)) == 0 || len(k.reports) >= maxKnownProcesses) {
		return
	}
	if k.reports == nil {
		k.reports = map[host.Identity]knownReport{}
	}
	k.reports[r.process] = r
	k.changed = true
}

// isComplete reports whether this host knows all grants of the window.
func (k *knownGrants) isComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.completeAt.IsZero() && time.Since(k.completeAt) < knownFor
}

// endComplete records that this host is not told of further grants.
func (k *knownGrants) endComplete() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.completeAt = time.Time{}
}

// isEmpty reports whether no grants are known.
func (k *knownGrants) isEmpty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.reports) == 0
}

// takeChange reports whether grants became known since the last call.
func (k *knownGrants) takeChange() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.changed
	k.changed = false
	return changed
}

// all returns the known reports, sorted by process.
func (k *knownGrants) all() []knownReport {
	k.mu.Lock()
	defer k.mu.Unlock()
	reports := make([]knownReport, 0, len(k.reports))
	for _, r := range k.reports {
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b knownReport) int {
		return cmp.Or(cmp.Compare(a.process.Name, b.process.Name), cmp.Compare(a.process.Incarnation, b.process.Incarnation))
	})
	return reports
}

// usage returns the known grants in the quota window: those of the processes of one host,
// and those of all others.
func (k *knownGrants) usage(hostName string, window time.Duration) (ofHost, ofOthers []permit.QuotaUsage) {
	now := time.Now()
	for _, r := range k.all() {
		if r.process.Name == hostName {
			ofHost = append(ofHost, r.usageAt(now, window)...)
		} else {
			ofOthers = append(ofOthers, r.usageAt(now, window)...)
		}
	}
	return ofHost, ofOthers
}

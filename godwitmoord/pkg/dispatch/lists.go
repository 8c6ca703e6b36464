package dispatch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// servicesWithNewOwner returns the services whose owner has changed since the last call.
// It includes services that were in use here earlier, because a new owner waits for the
// lists of hosts without permits too.
func (e *Entry) servicesWithNewOwner() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var moved []string
	services := e.servicesInUse()
	for service := range e.lastOwner {
		services[service] = true
	}
	for service := range services {
		owner := e.members.OwnerOf(service)
		if former := e.lastOwner[service]; former != owner {
			e.common.Log.Info("owner of a service", zap.String("service", service), zap.String("owner", owner), zap.String("before", former))
			e.common.Count("entry.owner.changes")
			e.lastOwner[service] = owner
			moved = append(moved, service)
		}
	}
	return moved
}

// servicesInUse returns the services with waiting asks or held permits. The caller
// holds e.mu.
func (e *Entry) servicesInUse() map[string]bool {
	services := map[string]bool{}
	for _, p := range e.waiting {
		services[p.service] = true
	}
	for _, g := range e.held {
		services[g.service] = true
	}
	return services
}

// asksToResend returns the asks to send again: those whose owner has changed, and
// those without a decision for too long.
func (e *Entry) asksToResend() []*pendingAsk {
	e.mu.Lock()
	defer e.mu.Unlock()
	var asks []*pendingAsk
	for _, p := range e.waiting {
		overdue := !p.received && time.Since(p.sentAt) > p.resendAfter
		if overdue || e.members.OwnerOf(p.service) != p.owner {
			asks = append(asks, p)
		}
	}
	return asks
}

// sendLists sends each owner the list of permits held here.
func (e *Entry) sendLists() {
	e.mu.Lock()
	services := e.servicesInUse()
	// Services without permits are included, so that an owner learns from an empty
	// list that the permits of an earlier list have ended.
	for service := range e.lastOwner {
		services[service] = true
	}
	e.mu.Unlock()
	for service := range services {
		e.sendList(e.heldList(service))
	}
}

// storeRates stores the rates that an owner learned for an endpoint. The caller holds
// e.mu.
func (e *Entry) storeRates(service string, rates *permit.LearnedRates) {
	if rates == nil {
		return
	}
	if e.rates[service] == nil {
		e.rates[service] = map[string]permit.LearnedRates{}
	}
	e.rates[service][rates.Endpoint] = *rates
}

// storeLimit stores what an endpoint says of its limit. The caller holds e.mu.
func (e *Entry) storeLimit(service string, limit permit.RateLimit) {
	if !limit.Named {
		delete(e.limits[service], limit.Endpoint)
		return
	}
	if e.limits[service] == nil {
		e.limits[service] = map[string]permit.RateLimit{}
	}
	e.limits[service][limit.Endpoint] = limit
}

// storedFor returns what an entry has stored for the endpoints of a service, and deletes
// what it has for endpoints that no longer belong to the service. The caller holds e.mu.
func storedFor[T any](e *Entry, service string, stored map[string]T) []T {
	maps.DeleteFunc(stored, func(endpoint string, _ T) bool {
		owner, listed := e.serviceOf(endpoint)
		return !listed || owner != service
	})
	return slices.Collect(maps.Values(stored))
}

// storeWarning stores what an owner learned about parts of prompts. The caller holds
// e.mu.
func (e *Entry) storeWarning(m warning) {
	if e.warnings[m.Service] == nil {
		e.warnings[m.Service] = &warnings{}
	}
	e.warnings[m.Service].add(m)
}

// heldList returns the list of the permits of a service that are held here.
func (e *Entry) heldList(service string) entryMessage {
	trips := e.expensiveRoundTrips(service)
	e.logRoundTrips(service, trips)
	permits := []permit.Permit{}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.held {
		if g.service == service {
			permits = append(permits, g.Permit)
		}
	}
	return entryMessage{Kind: listKind, Service: service, Permits: permits, RoundTrips: trips}
}

// sendFullList sends a new owner the permits held here and everything that earlier
// owners learned.
func (e *Entry) sendFullList(service string) {
	m := e.heldList(service)
	e.mu.Lock()
	m.Rates = storedFor(e, service, e.rates[service])
	m.Limits = storedFor(e, service, e.limits[service])
	m.Pauses = e.pausesOf(service)
	m.Crashes, m.Held = e.warnings[service].all()
	e.mu.Unlock()
	e.sendList(m)
}

// pausesOf returns the pauses of the endpoints of a service that are not over, and
// drops those that are. The caller holds e.mu.
func (e *Entry) pausesOf(service string) []permit.Pause {
	var pauses []permit.Pause
	for endpoint, pause := range e.pauses {
		left := time.Until(pause.until)
		switch {
		case left <= 0:
			delete(e.pauses, endpoint)
		case pause.service == service:
			pauses = append(pauses, permit.Pause{Endpoint: endpoint, Left: left})
		}
	}
	return pauses
}

// sendList sends a list to the owner of its service.
func (e *Entry) sendList(m entryMessage) { e.send(e.ownerOf(m.Service), m) }

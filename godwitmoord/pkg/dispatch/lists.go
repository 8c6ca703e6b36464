package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// movedServices returns the services in use here whose owner has changed since the
// last call.
func (e *Entry) movedServices() []string {
	ready := e.members.ReadyNames()
	e.mu.Lock()
	defer e.mu.Unlock()
	var moved []string
	for service := range e.inUse() {
		owner := ownerOf(ready, service)
		if e.asked[service] != owner {
			e.asked[service] = owner
			moved = append(moved, service)
		}
	}
	return moved
}

// inUse returns the services with waiting asks or held permits. The caller holds
// e.mu.
func (e *Entry) inUse() map[string]bool {
	services := map[string]bool{}
	for _, p := range e.waiting {
		services[p.service] = true
	}
	for _, g := range e.held {
		services[g.service] = true
	}
	return services
}

// overdue returns the asks to send again: those whose owner has changed, and those
// without a decision for too long.
func (e *Entry) overdue() []*pending {
	ready := e.members.ReadyNames()
	e.mu.Lock()
	defer e.mu.Unlock()
	var overdue []*pending
	for _, p := range e.waiting {
		if ownerOf(ready, p.service) != p.owner || time.Since(p.sent) > p.repeat {
			overdue = append(overdue, p)
		}
	}
	return overdue
}

// sendLists sends each owner the list of permits held here.
func (e *Entry) sendLists() {
	e.mu.Lock()
	services := e.inUse()
	// Services without permits are included, so that an owner learns from an empty
	// list that the permits of an earlier list have ended.
	for service := range e.asked {
		services[service] = true
	}
	e.mu.Unlock()
	for service := range services {
		e.sendList(service, nil)
	}
}

// notePace stores the rates that an owner learned for an endpoint. The caller holds
// e.mu.
func (e *Entry) notePace(service string, pace *permit.Pace) {
	if pace == nil {
		return
	}
	if e.paces[service] == nil {
		e.paces[service] = map[string]permit.Pace{}
	}
	e.paces[service][pace.Endpoint] = *pace
}

// pacesOf returns the stored rates of a service's endpoints, and deletes those of
// endpoints that no longer belong to the service.
func (e *Entry) pacesOf(service string) []permit.Pace {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.paces[service]
	var paces []permit.Pace
	for name := range known {
		if at, inUse := e.serviceOf(name); !inUse || at != service {
			delete(known, name)
			continue
		}
		paces = append(paces, known[name])
	}
	return paces
}

// sendList sends the owner of a service the permits held here, and the learned
// rates of the endpoints, which are passed for a new owner only.
func (e *Entry) sendList(service string, paces []permit.Pace) {
	e.mu.Lock()
	permits := []permit.Permit{}
	for _, g := range e.held {
		if g.service == service {
			permits = append(permits, g.Permit)
		}
	}
	e.mu.Unlock()
	e.send(e.ownerOf(service), entryMessage{Kind: listKind, Service: service, Permits: permits, Paces: paces})
}

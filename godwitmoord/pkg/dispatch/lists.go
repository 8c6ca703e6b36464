package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// movedServices gives the services in use here whose owner has changed.
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

// inUse gives the services with requests here; e.mu is held.
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

func (e *Entry) sendLists() {
	e.mu.Lock()
	services := e.inUse()
	// Owners that were told of permits before hear of their end as well.
	for service := range e.asked {
		services[service] = true
	}
	e.mu.Unlock()
	for service := range services {
		e.sendList(service, nil)
	}
}

// notePace remembers what an owner told of an endpoint; e.mu is held.
func (e *Entry) notePace(service string, pace *permit.Pace) {
	if pace == nil {
		return
	}
	if e.paces[service] == nil {
		e.paces[service] = map[string]permit.Pace{}
	}
	e.paces[service][pace.Endpoint] = *pace
}

// pacesOf gives what is remembered of the endpoints in use, and forgets others.
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

// sendList tells the owner of a service what is held here, and a new one how fast
// its endpoints were.
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

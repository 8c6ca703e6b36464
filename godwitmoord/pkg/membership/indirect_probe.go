package membership

import (
	"context"
	"time"
)

const (
	// indirectProbes is the number of hosts that are asked to probe indirectly a
	// host that did not answer a direct probe.
	indirectProbes = 3
	// indirectProbeTimeout bounds an indirect probe and an exchange of all rows.
	indirectProbeTimeout = time.Second
)

// probeIndirectly asks a few other hosts to probe the target and reports whether
// any of them got an answer.
func (p *probe) probeIndirectly(ctx context.Context) bool {
	relays := p.service.pickRelays(p.target.Name)
	answers := make(chan bool, len(relays))
	for _, address := range relays {
		r := &indirectProbe{service: p.service, relay: address, target: p.target.Address, answers: answers}
		go r.run(ctx)
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

// indirectProbe asks a relay, another host, to probe the target for this host.
type indirectProbe struct {
	service *Service
	relay   string
	target  string
	answers chan<- bool
}

func (r *indirectProbe) run(ctx context.Context) {
	reply, err := r.service.exchange(ctx, r.relay, message{Kind: indirectProbeKind, Target: r.target}, indirectProbeTimeout)
	r.answers <- err == nil && reply.Reached
}

// pickRelays returns the addresses of a few random hosts that are alive, other
// than the named one, to send indirect probes through.
func (s *Service) pickRelays(except string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var relays []string
	for name, e := range s.table {
		if name != except && e.row.State == Alive {
			relays = append(relays, e.row.Address)
		}
	}
	return sample(relays, indirectProbes)
}

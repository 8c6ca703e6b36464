package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// settleTime is the longest time for which a new owner reserves slots for permits that
// entries hold but have not listed to it yet.
const settleTime = time.Second

// handover tells when all hosts have listed their permits to a new owner of a service. The
// zero value waits for nothing.
type handover struct {
	// began is when this host became the owner; zero if nothing is awaited. listed holds
	// the hosts that have listed their permits since then.
	began  time.Time
	listed map[string]bool
}

// begin begins to wait for the lists of all hosts.
func (h *handover) begin(now time.Time) { h.began, h.listed = now, map[string]bool{} }

// complete records the list of a host, and reports whether it was the last one awaited.
func (h *handover) complete(host string, serving []string) bool {
	if h.began.IsZero() {
		return false
	}
	h.listed[host] = true
	if slices.ContainsFunc(serving, func(name string) bool { return !h.listed[name] }) {
		return false
	}
	h.began = time.Time{}
	return true
}

// checkHandover ends the settling period once all hosts have listed their permits.
func (s *serviceOwner) checkHandover(event permit.Event) {
	list, isList := event.(permit.Listed)
	began := s.handover.began
	if !isList || began.IsZero() {
		return
	}
	if !s.handover.complete(list.Host, s.owner.members.ServingNames()) {
		return
	}
	took := time.Since(began)
	s.owner.common.Observe("owner.settled-us", took.Microseconds())
	s.owner.common.Log.Info("all hosts listed their permits", zap.String("service", s.service), zap.Duration("after", took))
	if took < settleTime {
		s.step(permit.Settled{At: instantNow()})
	}
}

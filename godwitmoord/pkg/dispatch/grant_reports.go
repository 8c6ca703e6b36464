package dispatch

import (
	"math"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// reportSteps is the number of steps of age into which a report divides the quota
	// window.
	reportSteps = 16
	// successors is how many hosts that may own a service next are told of its grants.
	successors = 4
)

// grantReport is what one process granted for a service in the quota window.
type grantReport struct {
	Host        string           `cbor:"1,keyasint"`
	Incarnation int64            `cbor:"2,keyasint"`
	Number      int64            `cbor:"3,keyasint"`
	Customers   []customerGrants `cbor:"4,keyasint,omitempty"`
}

// customerGrants holds the tokens granted to a customer, by age: those in the newest step of
// the window come first.
type customerGrants struct {
	Customer string   `cbor:"1,keyasint"`
	Tokens   []uint64 `cbor:"2,keyasint"`
}

// newGrantReport returns the report of a process's grants. Each of them counts as no older
// than it is.
func newGrantReport(process host.Identity, number int64, usage []permit.QuotaUsage, window time.Duration) grantReport {
	report := grantReport{Host: process.Name, Incarnation: process.Incarnation, Number: number}
	index := map[string]int{}
	for _, s := range usage {
		i, known := index[s.Customer]
		if !known {
			i = len(report.Customers)
			index[s.Customer] = i
			report.Customers = append(report.Customers, customerGrants{Customer: s.Customer, Tokens: make([]uint64, reportSteps)})
		}
		step := int(s.Age / reportStep(window))
		if step >= 0 && step < reportSteps && s.Tokens > 0 {
			report.Customers[i].Tokens[step] += uint64(math.Ceil(s.Tokens))
		}
	}
	return report
}

func reportStep(window time.Duration) time.Duration { return max(window/reportSteps, 1) }

// known returns what the report says, with the ages of now. It reports false for one that no
// host of this build sends.
func (r grantReport) known(window time.Duration) (known knownReport, ok bool) {
	known = knownReport{process: host.Identity{Name: r.Host, Incarnation: r.Incarnation}, number: r.Number, at: time.Now()}
	for _, c := range r.Customers {
		if len(c.Tokens) > reportSteps {
			return known, false
		}
		for i, tokens := range c.Tokens {
			if tokens > 0 {
				known.usage = append(known.usage, permit.QuotaUsage{Customer: c.Customer, Tokens: float64(tokens), Age: time.Duration(i) * reportStep(window)})
			}
		}
	}
	return known, true
}

// shareGrants tells the hosts that may own the service next what this host granted and what
// it knows of the grants of others, so that they count them when the store does not answer.
func (s *serviceOwner) shareGrants(usage []permit.QuotaUsage) {
	isOwner := s.isOwner.Load()
	if !isOwner && len(usage) == 0 {
		return
	}
	window, known := s.quotaWindow(), s.owner.knownGrants(s.service)
	isComplete := isOwner && !s.isUnread()
	if isComplete {
		known.learn(nil, true, window)
	}
	now := time.Now()
	reports := []grantReport{newGrantReport(s.owner.common.Self, s.pageNumber, usage, window)}
	for _, r := range known.all() {
		// Without a number another host couldn't tell a report from an older one.
		if usage := r.usageAt(now, window); len(usage) > 0 && r.number > 0 {
			reports = append(reports, newGrantReport(r.process, r.number, usage, window))
		}
	}
	m := entryMessage{Kind: grantsKind, Service: s.service, Reports: reports, Complete: isComplete}
	before := s.told
	s.told = s.owner.members.Successors(s.service, successors)
	for _, name := range s.told {
		s.tell(name, m)
	}
	for _, name := range before {
		if !slices.Contains(s.told, name) {
			s.tell(name, entryMessage{Kind: grantsKind, Service: s.service, Ended: true})
		}
	}
}

func (s *serviceOwner) tell(name string, m entryMessage) {
	if !s.owner.toOwners.Send(s.owner.ctx, name, m) {
		s.owner.common.Count("owner.reports.dropped")
	}
}

// learnGrants records the reports of another host.
func (o *Owner) learnGrants(m entryMessage) error {
	p := o.common.Settings.Platform
	if p == nil || len(m.Reports) > maxKnownProcesses+1 {
		return &peer.RefusedError{Reason: "reports of grants are not used here, or too many"}
	}
	window := p.QuotaWindow.Std()
	var learned []knownReport
	for _, r := range m.Reports {
		report, ok := r.known(window)
		if !ok {
			return &peer.RefusedError{Reason: "a report of grants is malformed"}
		}
		if report.process != o.common.Self {
			learned = append(learned, report)
		}
	}
	known := o.knownGrants(m.Service)
	known.learn(learned, m.Complete, window)
	if m.Ended {
		known.endComplete()
	}
	return nil
}

// keepKnownGrants keeps what this host was told of services that it owns now and for which
// it got no ask yet: nobody else grants until it does.
func (o *Owner) keepKnownGrants() {
	window := o.common.Settings.Platform.QuotaWindow.Std()
	for service, known := range o.knownWithoutAsks() {
		if known.isComplete() && o.members.OwnerOf(service) == o.common.Self.Name {
			known.learn(nil, true, window)
		}
	}
}

// knownWithoutAsks returns what is known of the services for which this host got no message
// yet.
func (o *Owner) knownWithoutAsks() map[string]*knownGrants {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := map[string]*knownGrants{}
	for service, k := range o.known {
		if o.services[service] == nil {
			known[service] = k
		}
	}
	return known
}

// knownGrants returns what is known of the grants for a service.
func (o *Owner) knownGrants(service string) *knownGrants {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known[service] == nil {
		if len(o.known) >= maxKnownServices {
			return &knownGrants{}
		}
		o.known[service] = &knownGrants{}
	}
	return o.known[service]
}

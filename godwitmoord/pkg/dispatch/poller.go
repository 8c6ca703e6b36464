package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	maxLoadBytes = 16 << 10
	// closeAfter is how many consecutive polls must fail before an endpoint gets no
	// new requests.
	closeAfter = 2
)

// poller reads the load of the endpoints whose services this host owns. It closes an
// endpoint for new requests if the endpoint reports that it is leaving, if the host
// list marks it as leaving, or if it does not respond.
type poller struct {
	owner  *Owner
	client *http.Client

	mu sync.Mutex
	// failures counts the consecutive failed polls of each endpoint, and closed
	// holds the reason why an endpoint is closed, empty for an open one.
	failures map[string]int
	closed   map[string]string
}

type loadReport struct {
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

func newLoadClient() *http.Client { return &http.Client{Timeout: pollTimeout} }

func (p *poller) run(ctx context.Context) {
	for {
		for _, s := range p.owner.activeServices() {
			p.pollSeat(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (p *poller) pollSeat(ctx context.Context, s *serviceOwner) {
	current := p.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known || !p.isOwner(s.service) {
		return
	}
	for _, e := range service.Endpoints {
		v := &visit{poller: p, seat: s, endpoint: e}
		go v.run(ctx)
	}
}

func (p *poller) isOwner(service string) bool {
	return ownerOf(p.owner.members.ReadyNames(), service) == p.owner.common.Self.Name
}

// ownerOf returns the owner of a service: the ready host that ranks first by
// rendezvous hashing.
func ownerOf(ready []string, service string) string {
	return host.Ranked(ready, service, 1)[0]
}

// visit is one poll of one endpoint.
type visit struct {
	poller   *poller
	seat     *serviceOwner
	endpoint configuration.Endpoint
}

func (v *visit) run(ctx context.Context) {
	report, err := v.read(ctx)
	reason := v.poller.judge(v.endpoint, report, err)
	now := instantNow()
	if err == nil {
		v.seat.events.Offer(permit.Reported{At: now, Endpoint: v.endpoint.Name, Running: report.Running})
	}
	if v.poller.changed(v.endpoint.Name, reason) {
		v.poller.owner.common.Log.Info("endpoint marked", zap.String("endpoint", v.endpoint.Name), zap.String("closed-for", reason))
		v.seat.events.Offer(permit.Marked{At: now, Endpoint: v.endpoint.Name, Open: reason == "", Reason: reason})
	}
}

func (v *visit) read(ctx context.Context) (loadReport, error) {
	var report loadReport
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.endpoint.Address+"/load", nil)
	if err != nil {
		return report, err
	}
	response, err := v.poller.client.Do(get)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&report)
	return report, err
}

// judge returns the reason why an endpoint must get no new requests, empty if it may.
// A failed poll below closeAfter leaves the reason as it was.
func (p *poller) judge(e configuration.Endpoint, report loadReport, err error) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures[e.Name]++
	} else {
		p.failures[e.Name] = 0
	}
	switch {
	case p.failures[e.Name] >= closeAfter:
		return "unreachable"
	case report.Leaving:
		return "leaving-by-own-report"
	case p.owner.members.ListedLeaving(e.Address):
		return "leaving-by-host-list"
	case err != nil:
		return p.closed[e.Name]
	default:
		return ""
	}
}

// changed stores the reason for an endpoint and reports whether it differs from the
// previous one.
func (p *poller) changed(endpoint, reason string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed[endpoint] == reason {
		return false
	}
	p.closed[endpoint] = reason
	return true
}

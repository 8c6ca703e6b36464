package dispatch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/coordination/pkg/reply"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	maxLoadBytes = 16 << 10
	// maxPollFailures is how many consecutive polls must fail before an endpoint gets
	// no new requests.
	maxPollFailures = 2
)

// poller reads the load of the endpoints whose services this host owns. It closes an
// endpoint for new requests if the endpoint reports that it is leaving, if the host
// list marks it as leaving, or if it does not respond.
type poller struct {
	owner  *Owner
	client *http.Client

	mu sync.Mutex
	// failures counts the consecutive failed polls of each endpoint. closeReasons
	// holds the reason why an endpoint is closed, empty for an open one.
	failures     map[string]int
	closeReasons map[string]string
}

type loadReport struct {
	// Running is nil in a reply that is no load report.
	Running *int `json:"running"`
	Leaving bool `json:"leaving"`
}

func newLoadClient() *http.Client {
	return &http.Client{Transport: reply.NewTransport(), Timeout: pollTimeout}
}

func (p *poller) run(ctx context.Context) {
	for {
		for _, s := range p.owner.activeServices() {
			p.pollService(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (p *poller) pollService(ctx context.Context, s *serviceOwner) {
	current := p.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known || !p.isOwner(s.service) {
		return
	}
	for _, e := range service.Endpoints {
		task := &poll{poller: p, service: s, endpoint: e}
		go task.run(ctx)
	}
}

func (p *poller) isOwner(service string) bool {
	return p.owner.members.OwnerOf(service) == p.owner.common.Self.Name
}

// poll reads the load of one endpoint once and passes the result to the core of its
// service.
type poll struct {
	poller   *poller
	service  *serviceOwner
	endpoint configuration.Endpoint
}

func (p *poll) run(ctx context.Context) {
	report, err := p.read(ctx)
	reason := p.poller.closeReason(p.endpoint, report, err)
	now := instantNow()
	if err == nil {
		p.service.events.Offer(permit.Reported{At: now, Endpoint: p.endpoint.Name, Running: *report.Running})
	}
	if p.poller.updateReason(p.endpoint.Name, reason) {
		p.poller.owner.common.Log.Info("endpoint marked", zap.String("endpoint", p.endpoint.Name), zap.String("closed-for", reason))
		p.service.events.Offer(permit.Marked{At: now, Endpoint: p.endpoint.Name, Open: reason == "", Reason: reason})
	}
}

func (p *poll) read(ctx context.Context) (loadReport, error) {
	var report loadReport
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.endpoint.Address+"/load", nil)
	if err != nil {
		return report, err
	}
	response, err := p.poller.client.Do(get)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("endpoint %s returned status %s for its load", p.endpoint.Name, response.Status)
	}
	data, err := reply.Read(response.Body, maxLoadBytes)
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return loadReport{}, err
	}
	if report.Running == nil {
		return loadReport{}, errors.Newf("the load report of endpoint %s has no running", p.endpoint.Name)
	}
	return report, nil
}

// closeReason returns the reason why an endpoint must get no new requests, empty if it
// may. The first failed polls, below maxPollFailures, leave the reason as it was.
func (p *poller) closeReason(e configuration.Endpoint, report loadReport, err error) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures[e.Name]++
	} else {
		p.failures[e.Name] = 0
	}
	switch {
	case p.failures[e.Name] >= maxPollFailures:
		return "unreachable"
	case report.Leaving:
		return "leaving-by-own-report"
	case p.owner.members.EndpointHostLeaving(e.Address):
		return "leaving-by-host-list"
	case err != nil:
		return p.closeReasons[e.Name]
	default:
		return ""
	}
}

// updateReason stores the reason for an endpoint and reports whether it differs from
// the previous one.
func (p *poller) updateReason(endpoint, reason string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeReasons[endpoint] == reason {
		return false
	}
	p.closeReasons[endpoint] = reason
	return true
}

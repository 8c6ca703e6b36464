package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	loadPollInterval = 500 * time.Millisecond
	loadPollTimeout  = 400 * time.Millisecond
)

// Policy is a load-balancing policy of a Baseline, which picks endpoints without
// going through the entry hosts.
type Policy string

// The policies of a Baseline.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round-robin"
	// ReportedLoad picks the endpoint that reports the lowest number of running
	// requests. Requests are sent at once and never queued.
	ReportedLoad Policy = "reported-load"
)

// Service is the set of endpoints that a Baseline picks from for one path prefix.
type Service struct {
	Prefix    string
	Endpoints []Destination
}

// Baseline picks an endpoint for each request in order of arrival, so that runs
// without the system can be compared with runs through it.
type Baseline struct {
	policy   Policy
	services []Service
	client   *http.Client

	mu     sync.Mutex
	random *rand.Rand
	next   int
	loads  map[string]int
}

// NewBaseline returns a Baseline with the given policy. Start begins to poll the
// endpoints for their load.
func NewBaseline(policy Policy, seed uint64, services []Service) (*Baseline, error) {
	if policy != Random && policy != RoundRobin && policy != ReportedLoad {
		return nil, errors.Newf("unknown policy %q; use %s, %s or %s", policy, Random, RoundRobin, ReportedLoad)
	}
	return &Baseline{
		policy: policy, services: services, client: &http.Client{Timeout: loadPollTimeout},
		random: rand.New(rand.NewPCG(seed, seed)), loads: map[string]int{},
	}, nil
}

// Start polls the load of all endpoints in the background until ctx ends.
func (b *Baseline) Start(ctx context.Context) { go b.run(ctx) }

type reportedLoad struct {
	Running int `json:"running"`
}

func (b *Baseline) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range b.services {
			for _, e := range s.Endpoints {
				b.pollLoad(e)
			}
		}
		time.Sleep(loadPollInterval)
	}
}

func (b *Baseline) pollLoad(e Destination) {
	response, err := b.client.Get("http://" + e.Listen + "/load")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var load reportedLoad
	if json.NewDecoder(response.Body).Decode(&load) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[e.Name] = load.Running
}

// Pick returns an endpoint of the service that the path belongs to, or false if
// no service has a matching prefix.
func (b *Baseline) Pick(path string) (Destination, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		if strings.HasPrefix(path, s.Prefix+"/") {
			return b.pickFrom(s.Endpoints), true
		}
	}
	return Destination{}, false
}

func (b *Baseline) pickFrom(endpoints []Destination) Destination {
	switch b.policy {
	case Random:
		return endpoints[b.random.IntN(len(endpoints))]
	case RoundRobin:
		b.next++
		return endpoints[b.next%len(endpoints)]
	}
	lowest := endpoints[0]
	for _, e := range endpoints {
		if b.loads[e.Name] < b.loads[lowest.Name] {
			lowest = e
		}
	}
	return lowest
}

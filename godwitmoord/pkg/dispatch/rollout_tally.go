package dispatch

import (
	"slices"
	"sync"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
)

// rolloutTally collects what happens at a service for the goroutine that steers its
// rollout. The zero value is empty.
type rolloutTally struct {
	mu     sync.Mutex
	judged []permit.Judged
	// grants is how many permits the core granted at endpoints of targets.
	grants int
	// shifted is the version that gets all requests, if no permit is held at an endpoint
	// of another one; otherwise it is empty.
	shifted string
}

// tallied is what a rolloutTally collected since it was last taken.
type tallied struct {
	judged  []permit.Judged
	grants  int
	shifted string
}

// take returns what was collected, and empties the list of judgements.
func (t *rolloutTally) take() tallied {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := tallied{judged: t.judged, grants: t.grants, shifted: t.shifted}
	t.judged = nil
	return taken
}

// tallyRollout collects what the actions of an event say of a rollout.
func (s *serviceOwner) tallyRollout(actions []permit.Action) {
	if !s.owner.common.RollsOut() {
		return
	}
	t := &s.rolloutTally
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grants = s.core.TargetGrants()
	for _, action := range actions {
		if judged, isJudged := action.(permit.Judged); isJudged {
			t.judged = append(t.judged, judged)
		}
	}
}

// observeShift records whether nothing runs at endpoints of other versions any more.
func (s *serviceOwner) observeShift() {
	if !s.owner.common.RollsOut() {
		return
	}
	shifted := s.core.ShiftedTo()
	s.rolloutTally.mu.Lock()
	defer s.rolloutTally.mu.Unlock()
	s.rolloutTally.shifted = shifted
}

// steerAtStart bars all versions but the oldest one until this host knows of rollouts.
func (s *serviceOwner) steerAtStart() {
	if s.owner.common.RollsOut() {
		s.step(permit.Steered{At: instantNow(), Steering: permit.Steering{Barred: versionsBesidesOldest(s.endpoints(), "")}})
	}
}

// endpoints returns the endpoints of the service in the configuration in force.
func (s *serviceOwner) endpoints() []configuration.Endpoint {
	current := s.owner.release.Current()
	if current == nil {
		return nil
	}
	service, known := current.Configuration.Service(s.service)
	if !known {
		return nil
	}
	return service.Endpoints
}

// versionedRules adds the versions of the endpoints to their rules, where there are
// rollouts.
func (s *serviceOwner) versionedRules(rules []permit.EndpointRules, endpoints []configuration.Endpoint) []permit.EndpointRules {
	if s.owner.common.RollsOut() {
		for i := range rules {
			rules[i].Version = endpoints[i].Version
		}
	}
	return rules
}

// versionsBesidesOldest returns the versions of endpoints other than that of the endpoint that
// started first, which is taken for the one in use. A leaving endpoint and the target of
// an order are not, unless there is no other.
func versionsBesidesOldest(endpoints []configuration.Endpoint, target string) []string {
	oldest := -1
	for i, e := range endpoints {
		if e.Leaving || (target != "" && e.Version == target) {
			continue
		}
		if oldest < 0 || (e.Born > 0 && (endpoints[oldest].Born == 0 || e.Born < endpoints[oldest].Born)) {
			oldest = i
		}
	}
	var others []string
	for _, e := range endpoints {
		if oldest >= 0 && e.Version != endpoints[oldest].Version {
			others = append(others, e.Version)
		}
	}
	slices.Sort(others)
	return slices.Compact(others)
}

// logSteering logs a change of the versions that may get requests.
func (s *serviceOwner) logSteering(steering permit.Steering) {
	s.owner.common.Log.Info("versions steered", zap.String("service", s.service), zap.String("target", steering.Target),
		zap.Strings("barred", steering.Barred), zap.String("only", steering.Only))
}

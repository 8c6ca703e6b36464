package dispatch

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
)

// tightestGoal returns the tightest goal of the routes that lead to a service; zero if none
// has one.
func tightestGoal(c *configuration.Configuration, service string) time.Duration {
	tightest := time.Duration(0)
	for i := range c.Routes {
		goal := c.Routes[i].Goal.Std()
		if goal <= 0 || (tightest > 0 && goal >= tightest) {
			continue
		}
		for _, target := range c.Routes[i].Targets {
			if target.Service == service {
				tightest = goal
			}
		}
	}
	return tightest
}

// expensiveRoundTrips returns the round trips from here to other data centres that are
// expensive for a service (see permit.IsExpensive), sorted by data centre.
func (e *Entry) expensiveRoundTrips(service string) []permit.RoundTrip {
	current := e.localOwner.release.Current()
	if current == nil {
		return nil
	}
	goal := tightestGoal(&current.Configuration, service)
	if goal == 0 {
		return nil
	}
	var expensive []permit.RoundTrip
	for dataCentre, took := range e.members.RoundTrips() {
		if permit.IsExpensive(took, goal) {
			expensive = append(expensive, permit.RoundTrip{To: dataCentre, Time: took})
		}
	}
	slices.SortFunc(expensive, func(a, b permit.RoundTrip) int { return strings.Compare(a.To, b.To) })
	return expensive
}

// logRoundTrips logs a change of the data centres to which the path is expensive.
func (e *Entry) logRoundTrips(service string, trips []permit.RoundTrip) {
	names := make([]string, len(trips))
	times := make([]time.Duration, len(trips))
	for i, trip := range trips {
		names[i], times[i] = trip.To, trip.Time
	}
	text := strings.Join(names, " ")
	e.mu.Lock()
	changed := e.expensive[service] != text
	if changed {
		e.expensive[service] = text
	}
	e.mu.Unlock()
	if !changed {
		return
	}
	e.common.Log.Info("expensive paths to data centres changed", zap.String("service", service), zap.Strings("to", names), zap.Durations("round-trips", times))
}

// withDataCentre adds the data centre of the host that sent an event, where the service
// has expensive paths.
func (s *serviceOwner) withDataCentre(event permit.Event, from string) permit.Event {
	switch e := event.(type) {
	case permit.Measured:
		s.hasExpensivePaths.Store(true)
		e.DataCentre = s.owner.members.DataCentreOf(from)
		return e
	case permit.Asked:
		if s.hasExpensivePaths.Load() {
			e.Ask.DataCentre = s.owner.members.DataCentreOf(from)
		}
		return e
	default:
		return event
	}
}

// countLeaving counts grants by whether their requests leave their data centre.
func (s *serviceOwner) countLeaving(granted permit.Granted) {
	if !s.hasExpensivePaths.Load() {
		return
	}
	if granted.Leaves {
		s.owner.common.Count("owner.grants.left")
		return
	}
	s.owner.common.Count("owner.grants.stayed")
}

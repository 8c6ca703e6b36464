package permit

import "time"

const (
	// expensiveShare is the share of the tightest goal of a service above which a round
	// trip to another data centre is expensive.
	expensiveShare = 0.02
	// roundTripLifetime is how long a measured round trip counts without being reported
	// again. Hosts report theirs every 2 s.
	roundTripLifetime = 10 * time.Second
)

// RoundTrip is the time that a message to another data centre and back takes.
type RoundTrip struct {
	To   string        `json:"to"`
	Time time.Duration `json:"time"`
}

// IsExpensive reports whether a round trip costs a noticeable part of the tightest goal of
// a service; zero means that it has none.
func IsExpensive(roundTrip, tightestGoal time.Duration) bool {
	return tightestGoal > 0 && roundTrip.Seconds() > expensiveShare*tightestGoal.Seconds()
}

// dataCentrePair names the path from one data centre to another.
type dataCentrePair struct{ from, to string }

// measuredTrip is a round trip, and when it was reported.
type measuredTrip struct {
	time time.Duration
	at   Instant
}

// dataCentres decides what it costs a request to leave its data centre. A path, from one data
// centre to another, is expensive if IsExpensive holds for its round trip. The zero value
// knows no expensive path, and charges nothing.
type dataCentres struct {
	// trips holds the expensive paths that hosts reported lately, use the slots in use by
	// data centre.
	trips map[dataCentrePair]measuredTrip
	use   map[string]slotUse
}

// slotUse counts the slots of the open endpoints of a data centre, and those in use.
type slotUse struct{ slots, inUse int }

// free returns the share of the slots that are free; zero if there are no slots.
func (u slotUse) free() float64 {
	return max(0, float64(u.slots-u.inUse)) / float64(max(u.slots, 1))
}

// measure records the round trips of the expensive paths from a data centre.
func (d *dataCentres) measure(e Measured) {
	if e.DataCentre == "" {
		return
	}
	if d.trips == nil {
		d.trips = map[dataCentrePair]measuredTrip{}
	}
	for _, trip := range e.RoundTrips {
		d.trips[dataCentrePair{e.DataCentre, trip.To}] = measuredTrip{time: trip.Time, at: e.At}
	}
}

// countUse counts the slots in use in each data centre, where leaving one is expensive.
func (d *dataCentres) countUse(endpoints []*endpoint, now Instant) {
	for path, trip := range d.trips {
		if now.Since(trip.at) > roundTripLifetime {
			delete(d.trips, path)
		}
	}
	if len(d.trips) == 0 {
		return
	}
	if d.use == nil {
		d.use = map[string]slotUse{}
	}
	clear(d.use)
	for _, e := range endpoints {
		if !e.open() || now < e.pausedUntil {
			continue
		}
		use := d.use[e.rules.DataCentre]
		use.slots += e.rules.Limit
		use.inUse += len(e.permits) + e.foreignLoad
		d.use[e.rules.DataCentre] = use
	}
}

// charge returns what is added to the score of an endpoint for a request of another data
// centre: the round trip, and a part of the score as large as the share of free slots in
// the data centre of the request. So a request stays while its own endpoints are about as
// busy as others and leaves when they are much busier; once all their slots are in use, only
// the round trip is charged. From a data centre without open endpoints all requests leave.
func (d *dataCentres) charge(a Ask, e *endpoint, score time.Duration) time.Duration {
	trip, expensive := d.expensive(a, e)
	if !expensive {
		return 0
	}
	return trip + time.Duration(float64(score)*d.use[a.DataCentre].free())
}

// expensive returns the round trip between a request and an endpoint, and whether that is
// expensive. What is known of one direction holds for the other one.
func (d *dataCentres) expensive(a Ask, e *endpoint) (time.Duration, bool) {
	if len(d.trips) == 0 || a.DataCentre == "" || a.DataCentre == e.rules.DataCentre {
		return 0, false
	}
	trip, known := d.trips[dataCentrePair{a.DataCentre, e.rules.DataCentre}]
	if !known {
		trip, known = d.trips[dataCentrePair{e.rules.DataCentre, a.DataCentre}]
	}
	return trip.time, known
}

// scoreFor ranks endpoints for a request; the lowest score is best.
func (c *Core) scoreFor(a Ask, e *endpoint, estimate time.Duration) time.Duration {
	score := e.score(estimate)
	return score + c.dataCentres.charge(a, e, score)
}

// leaves reports whether a request leaves its data centre at a cost.
func (c *Core) leaves(a Ask, e *endpoint) bool {
	_, expensive := c.dataCentres.expensive(a, e)
	return expensive
}

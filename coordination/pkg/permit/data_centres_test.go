package permit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// siteNames are the data centres of a simulation, siteRoundTrip the time from one to
// another and back.
var siteNames = []string{"lorient", "brest", "vannes"}

const siteRoundTrip = 7 * time.Millisecond

// sites divides engines and callers between data centres. The nil value has none.
type sites struct {
	// demand is the share of the calls of each data centre.
	demand []float64
	// decides is set if the core knows the round trips.
	decides bool
	random  *rand.Rand
	origins map[string]string
	engines map[string]string
	// granted counts the grants, and left those of requests that left their data centre.
	granted, left int
}

func newSites(decides bool, demand ...float64) *sites {
	return &sites{
		demand: demand, decides: decides, random: rand.New(rand.NewPCG(20261206, 6)),
		origins: map[string]string{}, engines: map[string]string{},
	}
}

// ofEngine returns the data centre of an engine; each has as many of each speed.
func (d *sites) ofEngine(number int) string {
	if d == nil {
		return ""
	}
	name := siteNames[number/3%len(siteNames)]
	d.engines[fmt.Sprint("engine-", number)] = name
	return name
}

// ofCall returns the data centre of the call that an ask is for.
func (d *sites) ofCall(id string) string {
	if d == nil {
		return ""
	}
	point := d.random.Float64()
	for i, share := range d.demand {
		if point < share || i == len(d.demand)-1 {
			d.origins[id] = siteNames[i]
			break
		}
		point -= share
	}
	return d.origins[id]
}

// measure reports the round trips to the core, as the lists of hosts do.
func (d *sites) measure(s *simulation) {
	if d == nil || !d.decides || s.now%(2*time.Second) != 0 {
		return
	}
	for _, from := range siteNames {
		var trips []permit.RoundTrip
		for _, to := range siteNames {
			if to != from {
				trips = append(trips, permit.RoundTrip{To: to, Time: siteRoundTrip})
			}
		}
		s.step(permit.Measured{At: s.instant(), DataCentre: from, RoundTrips: trips})
	}
}

// roundTrip returns the time that an answer takes between data centres.
func (d *sites) roundTrip(id, engine string) time.Duration {
	if d == nil || d.origins[id] == d.engines[engine] {
		return 0
	}
	return siteRoundTrip
}

func (d *sites) count(a permit.Granted) {
	if d == nil {
		return
	}
	d.granted++
	if d.origins[a.ID] != d.engines[a.Endpoint] {
		d.left++
	}
}

func (d *sites) leftShare() float64 { return float64(d.left) / float64(d.granted) }

// siteLoad returns a load of three data centres with nine engines each.
func siteLoad(rateFactor float64, d *sites) policy {
	const engines = 27
	return policy{
		rateFactor: rateFactor * engines / 9, burstFactor: 1, worstWeight: 0.2, identifiesCallers: true,
		engines: engines, sites: d,
	}
}

// Guards against requests that leave their data centre without need, and against requests
// that stay there and miss their goals.
func TestOnlyTheExcessLeavesItsDataCentre(t *testing.T) {
	for _, test := range []struct {
		name   string
		demand []float64
		// most is the largest share of requests that may leave.
		most float64
	}{
		{name: "even", demand: []float64{1. / 3, 1. / 3, 1. / 3}, most: 0.05},
		{name: "uneven", demand: []float64{0.6, 0.25, 0.15}, most: 0.25},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for _, factor := range []float64{0.4, 0.7} {
				without := simulateLoad(siteLoad(factor, newSites(false, test.demand...)))
				with := simulateLoad(siteLoad(factor, newSites(true, test.demand...)))
				t.Logf("load %v: without: %.3f left, %d of %d in time; with: %.3f left, %d in time", factor, without.policy.sites.leftShare(),
					without.inTime(), len(without.calls), with.policy.sites.leftShare(), with.inTime())
				is.True(with.policy.sites.leftShare() < test.most)
				is.True(with.policy.sites.leftShare() < without.policy.sites.leftShare())
				is.True(float64(with.inTime()) >= 0.995*float64(without.inTime()))
			}
		})
	}
}

// newSitePool returns a pool with one engine in each of two data centres, between which
// the path is expensive.
func newSitePool(t *testing.T, hereSlots int) *enginePool {
	here, there := engine(hereSlots), engine(8)
	here.Name, here.DataCentre = "here", "lorient"
	there.Name, there.DataCentre = "there", "brest"
	p := newEnginePool(t, there, here)
	p.step(permit.Measured{At: p.now, DataCentre: "lorient", RoundTrips: []permit.RoundTrip{{To: "brest", Time: siteRoundTrip}}})
	return p
}

// endpointFor asks for a request from a data centre, and returns its endpoint and whether
// it leaves; the endpoint is empty if it has to wait.
func (p *enginePool) endpointFor(id, dataCentre string) (string, bool) {
	for _, action := range p.core.Step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: id, DataCentre: dataCentre, PromptTokens: 1000, AnswerTokens: 20, Deadline: p.now.After(time.Minute), Goal: p.now.After(time.Second),
	}}) {
		if granted, isGrant := action.(permit.Granted); isGrant {
			return granted.Endpoint, granted.Leaves
		}
	}
	return "", false
}

// Guards against a request that leaves although its data centre is as empty as others.
func TestRequestStaysWhereItsDataCentreIsAsEmpty(t *testing.T) {
	p := newSitePool(t, 8)
	endpoint, leaves := p.endpointFor("a", "lorient")
	p.is.Equal(endpoint, "here")
	p.is.True(!leaves)
	endpoint, _ = p.endpointFor("b", "brest") // what is known of one direction
	p.is.Equal(endpoint, "there")
}

// Guards against a request that waits in its data centre and misses its goal.
func TestRequestWithoutASlotInItsDataCentreLeavesAtOnce(t *testing.T) {
	p := newSitePool(t, 1)
	p.endpointFor("a", "lorient")
	endpoint, leaves := p.endpointFor("b", "lorient")
	p.is.Equal(endpoint, "there")
	p.is.True(leaves)
}

// Guards against requests that stay away from others because their own data centre has
// nothing left.
func TestAllRequestsOfADataCentreWithoutEndpointsLeave(t *testing.T) {
	p := newSitePool(t, 8)
	p.step(permit.Marked{At: p.now, Endpoint: "here", Open: false})
	for i := range 8 {
		endpoint, leaves := p.endpointFor(fmt.Sprint("a", i), "lorient")
		p.is.Equal(endpoint, "there")
		p.is.True(leaves)
	}
}

// Guards against a charge for paths that nobody measured, or not any more.
func TestUnmeasuredWayCostsNothing(t *testing.T) {
	p := newSitePool(t, 8)
	endpoint, leaves := p.endpointFor("a", "vannes")
	p.is.Equal(endpoint, "there") // the first of equal ones
	p.is.True(!leaves)
	p.step(permit.Withdrawn{At: p.now, ID: "a"})
	p.now = p.now.After(time.Minute)
	endpoint, leaves = p.endpointFor("b", "lorient")
	p.is.Equal(endpoint, "there")
	p.is.True(!leaves)
}

func TestRoundTripIsExpensiveAboveAFiftiethOfTheTightestGoal(t *testing.T) {
	is := is.New(t)
	is.True(permit.IsExpensive(7*time.Millisecond, 300*time.Millisecond))
	is.True(!permit.IsExpensive(6*time.Millisecond, 300*time.Millisecond))
	is.True(!permit.IsExpensive(time.Second, 0))
	is.True(!permit.IsExpensive(0, time.Second))
}

package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/ring"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

func ownerOnPlatform() *Owner {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: "entry-1", Incarnation: 1},
		Settings: settings.Settings{Platform: &settings.Platform{
			QuotaWindow: document.Duration(8 * time.Second), QuotaOvershoot: 0.1, QuotaSlack: 1000,
		}},
	}
	o := NewOwner(c)
	o.members = membership.New(c)
	return o
}

// quotaOf returns the quota that an owner of a service applies to a customer with 100
// tokens/s and a burst of 200, where quotaShare is the share of it that the owner may
// grant.
func quotaOf(o *Owner, kind configuration.Kind, quotaShare float64) permit.Quota {
	var event permit.Configured
	c := configuration.Configuration{Customers: []configuration.Customer{
		{Name: "tower", Quota: &configuration.Quota{PerSecond: 100, Burst: 200}},
		{Name: "unbounded", Quota: &configuration.Quota{}},
	}}
	o.addLimits(&event, &configuration.Service{Kind: kind}, &c, quotaShare)
	return event.Quotas[0]
}

func TestQuotaIsScaledByTheReachableShareOfTheFleet(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	whole := quotaOf(o, configuration.Model, 1)
	is.Equal(whole.Limit, 1000.0) // eight seconds of the rate plus the burst
	is.True(whole.Tolerance > 0 && whole.Tolerance < 0.1*1000+1000)
	half := quotaOf(o, configuration.Model, 0.5)
	is.Equal(half.Limit, 500.0)
	is.Equal(half.Tolerance, 0.0) // other owners may grant from the same quota
	plain := quotaOf(o, configuration.Application, 1)
	is.True(plain.Limit+whole.Limit+whole.Tolerance <= 1.1*1000+1000) // both services together stay within the platform's rule
}

func TestOwnerAndHostBesideItGrantMoreThanThePlatformTolerates(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	granted := 0.0
	for _, kind := range []configuration.Kind{configuration.Model, configuration.Application} {
		whole, beside := quotaOf(o, kind, 1), quotaOf(o, kind, nonOwnerShare)
		granted += whole.Limit + whole.Tolerance + beside.Limit + beside.Tolerance
	}
	is.True(granted <= 1.1*1000+1000)
	is.True(granted-quotaSlackShare*1000 <= 1.1*1000) // also where the slack is small beside the quota
}

func TestSharesOfAQuotaFollowTheOvershootThatThePlatformTolerates(t *testing.T) {
	is := is.New(t)
	for _, overshoot := range []float64{0, 0.03, 0.1, 0.3} {
		o := ownerOnPlatform()
		o.common.Settings.Platform.QuotaOvershoot, o.common.Settings.Platform.QuotaSlack = overshoot, 0
		granted := 0.0
		for _, kind := range []configuration.Kind{configuration.Model, configuration.Application} {
			granted += quotaOf(o, kind, 1).Limit + quotaOf(o, kind, nonOwnerShare).Limit
		}
		is.True(granted <= (1+overshoot)*1000+0.001)
		is.True(granted >= 1000-0.001) // no more is withheld than must be
	}
}

func TestHostThatIsNotTheOwnerGrantsASmallShare(t *testing.T) {
	is := is.New(t)
	s := &serviceOwner{owner: ownerOnPlatform(), service: "pool"}
	is.Equal(s.quotaShare(), nonOwnerShare) // other hosts consider it the owner, it does not
	is.True(s.updateOwnership())            // it has no other host in its list, so it owns the service
	is.True(s.outdated.Load())              // and must read the grants of other owners
	is.Equal(s.quotaShare(), 1.0)
	is.True(!s.updateOwnership())
	s.owner.setShare(0.5)
	is.True(s.quotaShare() < 0.5) // until all hosts have noticed that the fleet is split
}

func TestPageCountsOnlyGrantsInsideTheWindow(t *testing.T) {
	is := is.New(t)
	page := grantPage{
		Written: time.Now().Add(-3 * time.Second).UnixNano(),
		Usage:   []permit.QuotaUsage{{Customer: "tower", Tokens: 1, Age: time.Second}, {Customer: "tower", Tokens: 2, Age: 7 * time.Second}},
	}
	usage := page.inWindow(8 * time.Second)
	is.Equal(len(usage), 1)
	is.Equal(usage[0].Tokens, 1.0)
	is.True(usage[0].Age >= 3*time.Second)
}

func TestPageKeepsGrantsOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	s := &serviceOwner{owner: ownerOnPlatform(), service: "pool"}
	s.owner.grantWriter.owner = s.owner
	s.owner.grantWriter.store = &emptyStore{}
	s.owner.grantWriter.pages = ring.New[grantPage](1)
	s.inherit([]permit.QuotaUsage{{Customer: "tower", Tokens: 5, Age: 2 * time.Second}, {Customer: "tower", Tokens: 7, Age: 9 * time.Second}})
	s.queuePage([]permit.QuotaUsage{{Customer: "shop", Tokens: 1}})
	page := <-s.owner.grantWriter.pages.Values()
	is.Equal(len(page.Usage), 2)
	is.Equal(page.Usage[0].Tokens, 5.0) // the grant outside the window is dropped
	is.Equal(page.Usage[1].Customer, "shop")
}

func TestRereadKeepsGrantsOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	s := &serviceOwner{owner: ownerOnPlatform(), service: "pool"}
	s.owner.ctx = t.Context()
	s.owner.record = record.New(s.owner.common)
	s.owner.grantWriter.owner = s.owner
	s.owner.grantWriter.store = &emptyStore{}
	s.inherit([]permit.QuotaUsage{{Customer: "tower", Tokens: 900, Age: 2 * time.Second}})
	s.core.Step(permit.Configured{
		At: instantNow(), QueueLimit: 1, QuotaWindow: 8 * time.Second, Quotas: []permit.Quota{{Customer: "tower", Limit: 1000}},
		EarlierGrants: permit.EarlierGrants{QuotaUsed: s.inherited()}, Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1}},
	})
	s.rereadEarlierGrants()
	actions := s.core.Step(permit.Asked{At: instantNow(), Ask: permit.Ask{ID: "ask", Customer: "tower", QuotaTokens: 200, Deadline: instantNow().After(time.Minute)}})
	is.Equal(len(actions), 1)
	refused, isRefusal := actions[0].(permit.Refused)
	is.True(isRefusal && refused.Reason == permit.OverQuota)
}

// inherit makes grants known as those of an earlier incarnation of this host.
func (s *serviceOwner) inherit(grants []permit.QuotaUsage) {
	process := host.Identity{Name: s.owner.common.Self.Name, Incarnation: s.owner.common.Self.Incarnation - 1}
	s.owner.knownGrants(s.service).learn([]knownReport{{process: process, usage: grants, at: time.Now()}}, false, s.quotaWindow())
}

// emptyStore discards all writes and holds no values.
type emptyStore struct{}

func (*emptyStore) Put(context.Context, string, []byte) error      { return nil }
func (*emptyStore) List(context.Context, string) ([][]byte, error) { return nil, nil }
func (*emptyStore) RestoredAt() (at time.Time, ever bool)          { return at, false }

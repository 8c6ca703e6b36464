package dispatch

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
)

// Guards against shares in deployments that don't call for them, and against owners that
// divide by other weights than the quotas.
func TestSharesFollowTheFeatureAndTheQuotas(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	c := configuration.Configuration{Customers: []configuration.Customer{{Name: "tower", Quota: &configuration.Quota{PerSecond: 100, Burst: 200}}}}
	for _, enabled := range []bool{false, true} {
		o.common.Features.FairShare = enabled
		var event permit.Configured
		o.addLimits(&event, &configuration.Service{Kind: configuration.Model}, &c, 0.5)
		is.Equal(event.FairShare, enabled)
		is.Equal(event.Quotas[0].Weight == 100, enabled)
		is.Equal(event.Quotas[0].Weight == 0, !enabled)
	}
}

// Guards against refusals under contention that an operator can't see, and against a log
// line for each of them.
func TestRefusalsUnderContentionAreCountedAndLoggedSeldom(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	s := &serviceOwner{owner: ownerOnPlatform(), service: "pool"}
	s.owner.common.Log = zap.New(core)
	s.countShare(permit.Refused{ID: "ask", Reason: permit.Crowded})
	is.Equal(lines.Len(), 0)
	for range 3 {
		s.countShare(permit.Refused{ID: "ask", Reason: permit.Crowded, BeyondShare: "tower"})
		s.countShare(permit.Refused{ID: "ask", Reason: permit.Crowded, Again: true, Reserved: true})
	}
	is.Equal(lines.Len(), 1)
	for _, counter := range []string{"owner.refusals.beyond-share", "owner.refusals.again", "owner.refusals.reserved"} {
		is.Equal(metrics.GetOrRegisterCounter(counter, s.owner.common.Metrics).Count(), int64(3))
	}
}

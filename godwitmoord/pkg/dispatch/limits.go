package dispatch

import (
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	// defaultQueueLimit is the queue limit of services on the platform, where the
	// configuration sets none.
	defaultQueueLimit = 2000
	// repeatShare is the share of the platform's bound on repeated requests that
	// owners use. The rest is reserved for repeats that two owners both admit
	// during a change of owners.
	repeatShare = 0.7
	// plainQuotaShare is the share of a quota that plain services may grant in addition
	// to the model services, to which nearly all tokens of a customer go.
	plainQuotaShare = 0.04
	// partialFleetFactor is the factor applied to the quota share of an owner that
	// cannot reach all hosts.
	partialFleetFactor = 0.75
	// nonOwnerShare is the largest share of a quota that a host may grant when other
	// hosts send it asks although its own view names another owner, which may grant all
	// of it meanwhile. With the shares of model and plain services it stays within the
	// relative overshoot that the platform tolerates.
	nonOwnerShare = 0.05
	// quotaSlackShare is the part of the platform's quota slack (tokens tolerated
	// beyond a quota) that owners use. The rest of it covers the grants that a killed
	// owner had not written to the store.
	quotaSlackShare = 0.85
)

// addLimits adds the limits that the platform sets for all hosts together: tier
// weights, repeats and quotas. quotaShare is the share of each quota that this owner
// may grant.
func (o *Owner) addLimits(event *permit.Configured, service *configuration.Service, c *configuration.Configuration, quotaShare float64) {
	p := o.common.Settings.Platform
	if p == nil {
		return
	}
	event.QueueLimit = defaultQueueLimit
	event.RateShare = quotaShare
	event.Weights, event.WorstWeight = p.RankWeights, p.WorstRankWeight
	event.FairShare = o.common.Features.FairShare
	event.Repeats = permit.RepeatBound{
		Ratio:  p.RepeatRatio * repeatShare,
		Slack:  p.RepeatSlack * repeatShare,
		Window: p.RepeatWindow.Std(),
	}
	share := plainQuotaShare
	if service.Kind == configuration.Model {
		share = modelQuotaShare(p.QuotaOvershoot)
	}
	for _, customer := range c.Customers {
		if customer.Quota == nil || !customer.Quota.Bounded() {
			continue
		}
		limit := customer.Quota.PerSecond*p.QuotaWindow.Std().Seconds() + customer.Quota.Burst
		event.Quotas = append(event.Quotas, permit.Quota{
			Customer:  customer.Name,
			Limit:     limit * share * quotaShare,
			Total:     limit * share,
			Tolerance: tolerance(p, service, quotaShare),
			Weight:    o.weightOf(customer.Quota),
		})
	}
	event.QuotaWindow = p.QuotaWindow.Std()
	event.Partial = quotaShare < 1
}

// weightOf returns the weight of a customer's fair share: the tokens per second that its
// quota allows in the long run. It is zero where fair shares are off.
func (o *Owner) weightOf(quota *configuration.Quota) float64 {
	if !o.common.Features.FairShare {
		return 0
	}
	return quota.PerSecond
}

// modelQuotaShare returns the share of a quota that model services may grant: all of it,
// or less if the platform tolerates less beyond a quota than plain services and a host
// beside the owner grant in addition.
func modelQuotaShare(overshoot float64) float64 {
	return min(1, (1+overshoot)/(1+nonOwnerShare)-plainQuotaShare)
}

// tolerance returns the tokens that an owner may grant beyond a limit: none for plain
// services, and none if the owner cannot reach the whole fleet.
func tolerance(p *settings.Platform, service *configuration.Service, quotaShare float64) float64 {
	if quotaShare < 1 || service.Kind != configuration.Model {
		return 0
	}
	return quotaSlackShare * p.QuotaSlack
}

package dispatch

import (
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	// defaultQueueLimit bounds the queue of a service whose configuration does
	// not.
	defaultQueueLimit = 2000
	// repeatShare is how much of the bound on repeats is used; the rest is for
	// those that a change of owners doubles.
	repeatShare = 0.7
	// Nearly all of a customer's tokens go to models. Plain services grant a small
	// part beside, which the tolerance of quotas covers.
	modelQuotaShare = 1.0
	plainQuotaShare = 0.04
	// partialShare is the part of its share that an owner grants that is not in
	// touch with all hosts.
	partialShare = 0.75
	// besideShare is the part of a quota that a host grants that is taken for the
	// owner by some, while by its own view another is.
	besideShare = 0.2
	// slackShare is the part of the tokens tolerated beyond a quota that is used.
	// The rest, and the share of the quota that is tolerated beside, are for plain
	// services and for what a killed owner had not written down.
	slackShare = 0.85
)

// bound adds what the platform bounds over all hosts together. The part of each
// quota given is this owner's to grant.
func (o *Owner) bound(event *permit.Configured, service *configuration.Service, c *configuration.Configuration, fleet float64) {
	p := o.common.Settings.Platform
	if p == nil {
		return
	}
	event.QueueLimit = defaultQueueLimit
	event.Weights, event.WorstWeight = p.RankWeights, p.WorstRankWeight
	event.Repeats = permit.RepeatBound{
		Ratio:  p.RepeatRatio * repeatShare,
		Slack:  p.RepeatSlack * repeatShare,
		Window: p.RepeatWindow.Std(),
	}
	share := plainQuotaShare
	if service.Kind == configuration.Model {
		share = modelQuotaShare
	}
	for _, customer := range c.Customers {
		if customer.Quota == nil || !customer.Quota.Bounded() {
			continue
		}
		limit := customer.Quota.PerSecond*p.QuotaWindow.Std().Seconds() + customer.Quota.Burst
		event.Quotas = append(event.Quotas, permit.Quota{
			Customer:  customer.Name,
			Limit:     limit * share * fleet,
			Whole:     limit * share,
			Tolerance: tolerance(p, service, fleet),
		})
	}
	event.QuotaWindow = p.QuotaWindow.Std()
	event.Partial = fleet < 1
}

// tolerance gives what an owner may grant beyond a limit that is in touch with the whole fleet.
func tolerance(p *settings.Platform, service *configuration.Service, fleet float64) float64 {
	if fleet < 1 || service.Kind != configuration.Model {
		return 0
	}
	return slackShare * p.QuotaSlack
}

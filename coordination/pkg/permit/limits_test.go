package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// bounded drives a core whose endpoint has slots for every request, so that only
// quotas and the bound on repeats limit what is granted.
type bounded struct {
	core permit.Core
	now  permit.Instant
	next int
}

const window = 8 * time.Second

// configure sends a new version of the configuration, with the settings that all
// these tests share.
func (d *bounded) configure(e permit.Configured) {
	e.At, e.Tiers, e.QueueLimit, e.QuotaWindow = d.now, 3, 100, window
	if e.Endpoints == nil {
		e.Endpoints = []permit.EndpointRules{{Name: "i-1", Limit: 10_000}}
	}
	d.core.Step(e)
}

// ask asks for a permit and returns the decision, nil if the request waits.
func (d *bounded) ask(a permit.Ask) permit.Action {
	d.next++
	a.ID, a.Deadline = fmt.Sprint("ask-", d.next), d.now.After(time.Minute)
	actions := d.core.Step(permit.Asked{At: d.now, Ask: a})
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// granted asks for a permit and reports whether it was granted.
func (d *bounded) granted(customer string, tokens int) bool {
	_, granted := d.ask(permit.Ask{Customer: customer, QuotaTokens: tokens}).(permit.Granted)
	return granted
}

func (d *bounded) pass(t time.Duration) { d.now = d.now.After(t) }

func openBounded() *bounded { return &bounded{now: permit.Instant(time.Hour)} }

func quota(limit float64) []permit.Quota { return []permit.Quota{{Customer: "tower", Limit: limit}} }

func TestQuotaHoldsInEveryWindowAndTellsWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{First: true}})
	for range 10 {
		is.True(d.granted("tower", 100)) // the whole quota may be used at once
	}
	refused, isRefusal := d.ask(permit.Ask{Customer: "tower", QuotaTokens: 100}).(permit.Refused)
	is.True(isRefusal)
	is.Equal(refused.Reason, permit.OverQuota)
	is.True(d.granted("other", 100)) // other customers are not limited
	d.pass(refused.RetryAfter)
	is.True(d.granted("tower", 100))
	is.True(refused.RetryAfter > window-time.Second && refused.RetryAfter <= window+time.Second)
}

func TestLowerQuotaTakesEffectAtOnceAndIsKeptOverVersions(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{First: true}})
	is.True(d.granted("tower", 600))
	d.configure(permit.Configured{Quotas: quota(500)})
	is.True(!d.granted("tower", 10))
	d.configure(permit.Configured{}) // one version omits the customer
	d.configure(permit.Configured{Quotas: quota(1000)})
	is.True(!d.granted("tower", 600)) // its earlier usage still counts
}

// A lowered quota limits the windows that begin after the change. Windows that began
// before it keep the former limit; otherwise a customer that stayed within its quota
// would be refused for what it used earlier.
func TestLowerQuotaBindsWhatComesAfterIt(t *testing.T) {
	is := is.New(t)
	whole := func(limit float64) []permit.Quota {
		return []permit.Quota{{Customer: "tower", Limit: limit, Whole: limit}}
	}
	d := openBounded()
	d.configure(permit.Configured{Quotas: whole(1000), Before: permit.Before{First: true}})
	is.True(d.granted("tower", 600))
	d.pass(time.Second)
	d.configure(permit.Configured{Quotas: whole(500)})
	is.True(d.granted("tower", 300)) // windows that begin now allow 500
	is.True(!d.granted("tower", 250))
	is.True(!d.granted("tower", 150)) // windows that began before allow no more than 1000
	is.True(d.granted("tower", 100))
	d.configure(permit.Configured{Quotas: whole(450)}) // a second reduction counts from the time of the first
	is.True(!d.granted("tower", 100))
	d.configure(permit.Configured{Quotas: whole(500)})
	d.pass(window - time.Second + window/32) // the 600 have left the window
	is.True(!d.granted("tower", 150))
	is.True(d.granted("tower", 100))
	d.pass(2 * window)
	is.True(d.granted("tower", 500))
	is.True(!d.granted("tower", 10))
}

// If the owner's share of a quota falls while the whole quota stays, other owners
// grant the rest. The smaller share therefore limits the current window too.
func TestSmallerShareOfAQuotaBindsAtOnce(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: []permit.Quota{{Customer: "tower", Limit: 1000, Whole: 1000}}, Before: permit.Before{First: true}})
	is.True(d.granted("tower", 600))
	d.configure(permit.Configured{Quotas: []permit.Quota{{Customer: "tower", Limit: 500, Whole: 1000}}, Partial: true})
	is.True(!d.granted("tower", 10))
}

func TestRefusedRequestIsNotCharged(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1}}, Before: permit.Before{First: true}})
	is.True(d.granted("tower", 400))
	is.Equal(d.ask(permit.Ask{Customer: "tower", QuotaTokens: 400}), nil) // waits
	d.core.Step(permit.Withdrawn{At: d.now, ID: "ask-2"})
	d.core.Step(permit.Withdrawn{At: d.now, ID: "ask-1"}) // its slot is free again
	is.True(d.granted("tower", 600))
}

func TestNewOwnerCountsWhatOthersGranted(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	spent := []permit.Spending{{Customer: "tower", Tokens: 900, Age: 2 * time.Second}}
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{Assumed: 0.5, Spent: spent}})
	is.True(!d.granted("tower", 200))
	is.True(d.granted("tower", 100))
	d.pass(window - time.Second) // the grants of the earlier owner have left the window
	is.True(d.granted("tower", 800))
}

func TestNewOwnerThatKnowsNothingTakesQuotasAsUsed(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{Unread: true}})
	is.True(!d.granted("tower", 200))
	d.pass(window / 2)
	is.True(d.granted("tower", 400))
	is.True(!d.granted("tower", 200))
}

func TestOwnerThatDecidesAgainTakesInWhatOthersGranted(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{First: true}})
	is.True(d.granted("tower", 300))
	others := []permit.Spending{{Customer: "tower", Tokens: 500}}
	d.core.Step(permit.Regained{At: d.now, Before: permit.Before{Spent: others}})
	is.True(!d.granted("tower", 300))
	is.True(d.granted("tower", 200))
	// If the persisted grants can't be read, the usage counted so far stays.
	d.core.Step(permit.Regained{At: d.now, Before: permit.Before{Unread: true}})
	is.True(!d.granted("tower", 100))
}

func TestOwnerThatDecidesAgainTakesAPartAsUsedWhereNothingIsWritten(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{First: true}})
	d.core.Step(permit.Regained{At: d.now, Before: permit.Before{Assumed: 0.25}})
	is.True(!d.granted("tower", 800))
	is.True(d.granted("tower", 700))
}

func TestToleranceIsForAnOwnerThatKnowsTheWholeWindow(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	tolerant := []permit.Quota{{Customer: "tower", Limit: 1000, Tolerance: 200}}
	d.configure(permit.Configured{Quotas: tolerant, Before: permit.Before{Assumed: 0.1}})
	d.pass(window + time.Second)
	is.True(d.granted("tower", 1000))
	is.True(d.granted("tower", 200))
	is.True(!d.granted("tower", 10))
	d.pass(2 * window)
	d.configure(permit.Configured{Quotas: tolerant, Partial: true}) // the fleet is partitioned: other owners may grant from the same quota
	is.True(d.granted("tower", 1000))
	is.True(!d.granted("tower", 100))
}

func TestWhatWasGrantedCanBeWrittenDown(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: append(quota(1000), permit.Quota{Customer: "shop", Limit: 1000}), Before: permit.Before{First: true}})
	is.True(d.granted("tower", 700))
	is.True(d.granted("shop", 100))
	is.Equal(d.core.Untold(0.6), 0.7)
	spent := d.core.Spent(0.6)
	is.Equal(len(spent), 1) // the shop has used less than the share of 0.6
	is.Equal(spent[0].Customer, "tower")
	is.Equal(spent[0].Tokens, 700.0)
	is.Equal(d.core.Untold(0.6), 0.0)
}

func TestOwnerThatDoesNotKnowTheWholeWindowWritesAllDown(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Quotas: quota(1000), Before: permit.Before{Assumed: 0.5}})
	is.True(d.granted("tower", 100))
	is.Equal(d.core.Untold(0.6), 0.1)
	spent := d.core.Spent(0.6) // the next owner could not tell this usage from that of an earlier owner
	is.Equal(len(spent), 1)
	is.Equal(spent[0].Tokens, 100.0)
	d.pass(2 * window)
	is.True(d.granted("tower", 100))
	is.Equal(len(d.core.Spent(0.6)), 0)
}

func TestRepeatsAreBoundedByRequests(t *testing.T) {
	is := is.New(t)
	d := openBounded()
	d.configure(permit.Configured{Repeats: permit.RepeatBound{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}})
	for range 10 {
		is.True(d.granted("tower", 0))
	}
	repeat := permit.Ask{Repeat: true}
	for range 4 { // two for the ten requests, and the slack of two
		_, granted := d.ask(repeat).(permit.Granted)
		is.True(granted)
	}
	refused, isRefusal := d.ask(repeat).(permit.Refused)
	is.True(isRefusal)
	is.Equal(refused.Reason, permit.NoRepeat)
	d.pass(11 * time.Second)
	_, granted := d.ask(repeat).(permit.Granted)
	is.True(granted)
}

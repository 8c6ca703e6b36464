package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

func TestReturnedAskThatAnotherOwnerChargedRaisesTheQuota(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{
		Quotas: towerQuota(1000), Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1}},
		EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true},
	})
	is.True(b.admits("tower", 400)) // holds the only slot
	for _, id := range []string{"ask-2", "ask-3", "ask-4"} {
		is.Equal(b.ask(permit.Ask{Customer: "tower", QuotaTokens: 400, Returned: true}), nil) // waits
		b.core.Step(permit.Withdrawn{At: b.now, ID: id})
	}
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-1"})
	granted := 400
	for b.admits("tower", 100) {
		granted += 100
		b.core.Step(permit.Withdrawn{At: b.now, ID: fmt.Sprint("ask-", b.lastID)})
	}
	is.True(granted <= 1000)
}

func TestRefundOfAReturnedAskOutlivesItsCharge(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{
		Quotas: towerQuota(1000), Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1}},
		EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true},
	})
	is.True(b.admits("tower", 500))
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-1"}) // given back unsent
	is.True(b.admits("other", 0))                         // holds the only slot
	b.advance(4 * time.Second)
	is.Equal(b.ask(permit.Ask{Customer: "tower", QuotaTokens: 500, Returned: true}), nil) // waits
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-3"})
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-2"})
	b.advance(quotaWindow - 2*time.Second) // the charge is out of the window, its refund is not
	granted := 0
	for b.admits("tower", 100) {
		granted += 100
		b.core.Step(permit.Withdrawn{At: b.now, ID: fmt.Sprint("ask-", b.lastID)})
	}
	is.True(granted <= 1000)
}

func TestRequestOfAHostThatItsOnlyEndpointPausesForTooLongIsRefused(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 2, DecodeSpeed: 100})
	core.Step(permit.Paused{At: at(0), Host: "entry-1", Pause: permit.Pause{Endpoint: "only", Left: time.Minute}})
	is.True(describe(core.Step(askAt(2*time.Second, "paused", 0, 100, 12*time.Second))) != "")
}

package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/rollout"
	"godwitmoor.example/platform"
)

// newHostWithRollouts returns a lone host of a deployment with rollouts.
func newHostWithRollouts() *Service {
	s := newLoneHost()
	s.layout = platform.Layout{}
	s.common.Settings.Platform.ExposureShare = 0.1
	return s
}

// orderAt returns the change by which an order is written at a revision.
func orderAt(revision int64, value string) keyvalue.Change {
	return keyvalue.Change{Entry: keyvalue.Entry{Key: "op/rollout/desk", Value: []byte(value), Revision: revision}}
}

// Guards against an older order, an unreadable one or a removal that replaces the newest.
func TestNewestReadableOrderIsCarriedOut(t *testing.T) {
	is := is.New(t)
	s := newHostWithRollouts()
	is.True(s.acceptOrder(orderAt(5, `{"Service":"desk","Target":"v2","DurationS":60}`)))
	newest := []rollout.Order{{Service: "desk", Target: "v2", Duration: time.Minute, Revision: 5}}
	is.True(!s.acceptOrder(orderAt(4, `{"Service":"desk","Target":"v1","DurationS":60}`)))
	is.True(!s.acceptOrder(orderAt(5, `{"Service":"desk","Target":"v2","DurationS":60}`)))
	is.True(!s.acceptOrder(orderAt(6, `{"Service":"pool"`)))
	removal := orderAt(7, "")
	removal.Removed = true
	is.True(!s.acceptOrder(removal))
	is.Equal(s.RolloutOrders(), newest)
}

// Guards against further keys in the watch of a deployment without rollouts, and against
// orders there.
func TestOrdersAreWatchedOnlyWhereThereAreRollouts(t *testing.T) {
	is := is.New(t)
	s := newHostWithRollouts()
	is.Equal(s.configurationPrefix(), "op/")
	s.common.Settings.Platform.ExposureShare = 0
	is.Equal(s.configurationPrefix(), "op/config")
	is.True(!s.acceptOrder(orderAt(5, `{"Service":"desk","Target":"v2","DurationS":60}`)))
	is.Equal(len(s.RolloutOrders()), 0)
	e := configuration.Endpoint{Name: "i-1", Version: "v2", ColdLeft: document.Duration(time.Second)}
	is.Equal(s.versioned(e), configuration.Endpoint{Name: "i-1"})
}

// Guards against the use of an endpoint that left before the store was restored, where its
// entry states a version and the deployment has no rollouts.
func TestEndpointWithAVersionThatLeftStaysAwayWithoutRollouts(t *testing.T) {
	is := is.New(t)
	s := newHostWithRollouts()
	s.common.Settings.Platform.ExposureShare = 0
	value := []byte(`{"Service":"desk","Address":"127.0.0.1:1","Zone":"a","Slots":2,"State":"ready","Version":"v1"}`)
	written := func(revision int64) keyvalue.Change {
		return keyvalue.Change{Entry: keyvalue.Entry{Key: "servers/i-1", Value: value, Revision: revision}}
	}
	changed, usable := s.applyChange("i-1", written(5), 0)
	is.True(changed && usable)
	s.table.MarkMissing("i-1", 6, time.Now())
	changed, usable = s.applyChange("i-1", written(keyvalue.InEra(1, 5)), 0)
	is.True(!changed && !usable)
}

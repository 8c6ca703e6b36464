package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/rollout"
)

// rolloutRecordPrefix is the prefix of the names of the records of rollouts.
const rolloutRecordPrefix = "rollout/"

// maxReplacedOrders bounds the replaced orders of a service that are remembered.
const maxReplacedOrders = 16

// rolloutLayout is the part of a Layout that describes rollouts.
type rolloutLayout interface {
	// OperatorPrefix returns the prefix of the configuration's key and of the orders.
	OperatorPrefix() string
	// RolloutService returns the service whose rollout a key orders, and whether it is
	// such a key; RolloutOrder decodes the order.
	RolloutService(key string) (string, bool)
	RolloutOrder(service string, value []byte) (rollout.Order, error)
	// RolloutStatus returns the key and the value that tell the operators of a rollout.
	RolloutStatus(order rollout.Order, stage rollout.Stage) (key string, value []byte)
}

// orders holds the newest order of a rollout of each service. The zero value has none.
type orders struct {
	mu        sync.Mutex
	byService map[string]rollout.Order
	// replaced holds the orders that a newer one replaced, the newest last.
	replaced map[string][]rollout.Order
	// added gets a value after an order was added; nil until somebody waits for that.
	added chan struct{}
}

// addedChannel returns a channel that gets a value after an order was added.
func (o *orders) addedChannel() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.added == nil {
		o.added = make(chan struct{}, 1)
	}
	return o.added
}

// add adds an order and reports whether it is newer than the one known.
func (o *orders) add(order rollout.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, found := o.byService[order.Service]
	if (found && known.Revision >= order.Revision) || o.wasReplaced(order) {
		return false
	}
	if o.byService == nil {
		o.byService, o.replaced = map[string]rollout.Order{}, map[string][]rollout.Order{}
	}
	if found {
		replaced := slices.Concat(o.replaced[order.Service], []rollout.Order{known})
		o.replaced[order.Service] = replaced[max(0, len(replaced)-maxReplacedOrders):]
	}
	o.byService[order.Service] = order
	select {
	case o.added <- struct{}{}:
	default:
	}
	return true
}

// wasReplaced reports whether an order is one that a newer one replaced before the store
// came back from an earlier copy, which lacks the newer one. o.mu is held.
func (o *orders) wasReplaced(order rollout.Order) bool {
	return slices.ContainsFunc(o.replaced[order.Service], func(earlier rollout.Order) bool {
		isCopy := keyvalue.WithoutEra(earlier.Revision) == keyvalue.WithoutEra(order.Revision) &&
			keyvalue.EraOf(earlier.Revision) < keyvalue.EraOf(order.Revision)
		return isCopy && earlier.Target == order.Target && earlier.Duration == order.Duration
	})
}

// versioned returns an endpoint without its version where there are no rollouts, so that
// what the entry says of it changes nothing there.
func (s *Service) versioned(e configuration.Endpoint) configuration.Endpoint {
	if !s.common.RollsOut() {
		e.Version, e.ColdLeft = "", 0
	}
	return e
}

// configurationPrefix returns the prefix of the keys that are watched with the
// configuration: its own, and those of the orders of rollouts where there are some.
func (s *Service) configurationPrefix() string {
	if s.common.RollsOut() {
		return s.layout.OperatorPrefix()
	}
	return s.layout.ConfigurationKey()
}

// readOrder applies a change of the operators' keys that the store told this host, if it
// orders a rollout, and passes it on to the others.
func (s *Service) readOrder(c keyvalue.Change) {
	if !s.acceptOrder(c) {
		return
	}
	if n, encoded := s.entryNotice(c.Entry); encoded {
		s.notices.Publish(n)
	}
}

// isOrder reports whether a key orders a rollout, and this deployment has them.
func (s *Service) isOrder(key string) bool {
	if !s.common.RollsOut() {
		return false
	}
	_, isOrder := s.layout.RolloutService(key)
	return isOrder
}

// acceptOrder applies a change of a key that orders a rollout, and reports whether it was
// news. A removed or unreadable order changes nothing: the one before it is carried out.
func (s *Service) acceptOrder(c keyvalue.Change) bool {
	if c.Removed || !s.isOrder(c.Entry.Key) {
		return false
	}
	service, _ := s.layout.RolloutService(c.Entry.Key)
	order, err := s.layout.RolloutOrder(service, c.Entry.Value)
	if err != nil {
		s.common.Count("rollouts.orders.unreadable")
		s.common.Log.Warn("order of a rollout not used", zap.String("service", service), zap.Int64("revision", c.Entry.Revision), zap.Error(err))
		return false
	}
	order.Revision = c.Entry.Revision
	if !s.orders.add(order) {
		return false
	}
	s.common.Log.Info("rollout ordered", zap.String("service", service), zap.String("target", order.Target),
		zap.Duration("duration", order.Duration), zap.Int64("revision", order.Revision))
	return true
}

// RolloutOrders returns the newest order of each service, sorted by service.
func (s *Service) RolloutOrders() []rollout.Order {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	var all []rollout.Order
	for _, service := range slices.Sorted(maps.Keys(s.orders.byService)) {
		all = append(all, s.orders.byService[service])
	}
	return all
}

// RolloutOrdered returns a channel that gets a value after a new order arrived. It is for
// one receiver.
func (s *Service) RolloutOrdered() <-chan struct{} { return s.orders.addedChannel() }

// ReadRolloutRecord returns the record of the rollout of a service, or the zero Entry if
// there is none.
func (s *Service) ReadRolloutRecord(ctx context.Context, service string) (keyvalue.Entry, error) {
	key := s.layout.PersistedKey(rolloutRecordPrefix + service)
	listing, err := s.store.List(ctx, key)
	if err != nil {
		return keyvalue.Entry{}, err
	}
	for _, e := range listing.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return keyvalue.Entry{}, nil
}

// WriteRolloutRecord writes the record of the rollout of a service if its revision is
// still the given one; zero means that there must be none.
func (s *Service) WriteRolloutRecord(ctx context.Context, service string, value []byte, revision int64) (keyvalue.Outcome, error) {
	return s.store.Put(ctx, s.layout.PersistedKey(rolloutRecordPrefix+service), value, revision)
}

// WriteRolloutStatus writes the status of a rollout if its revision is still the given one.
func (s *Service) WriteRolloutStatus(ctx context.Context, order rollout.Order, stage rollout.Stage, revision int64) (keyvalue.Outcome, error) {
	key, value := s.layout.RolloutStatus(order, stage)
	outcome, err := s.store.Put(ctx, key, value, revision)
	if err == nil && !outcome.Applied && string(outcome.Current.Value) == string(value) {
		return keyvalue.Outcome{Applied: true, Revision: outcome.Current.Revision}, nil
	}
	return outcome, err
}

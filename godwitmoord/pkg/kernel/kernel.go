// Package kernel starts and stops the daemon's services, looks them up by name, and
// distributes the events that they publish to each other.
//
// # Usage
//
//	k := kernel.New(log)
//	k.Register("claims", claims.New(common))
//	err := k.Start(ctx)
//	service, err := kernel.Lookup[*claims.Service](k, "claims")
package kernel

import (
	"context"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Names of the services.
const (
	Memory     = "memory"
	Peer       = "peer"
	Membership = "membership"
	Release    = "release"
	Discovery  = "discovery"
	Claims     = "claims"
	Owner      = "owner"
	Load       = "load"
	Dispatch   = "dispatch"
	Serving    = "serving"
	Front      = "front"
	Record     = "record"
	Status     = "status"
	Notice     = "notice"
)

// Topics of the events that services publish.
const (
	// ConfigurationChanged has an empty payload; read the configuration from the
	// release service.
	ConfigurationChanged = "configuration-changed"
	// StoreRestored has an empty payload. The platform's store came back from an
	// earlier copy, so that what was written last must be written again.
	StoreRestored = "store-restored"
)

const eventBuffer = 256

// Service is one part of the daemon. Start returns when the service is working, and
// its goroutines end with the context of Start. Stop shuts the service down cleanly.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// UnknownServiceError reports that no service of the requested name and type is
// registered.
type UnknownServiceError struct{ Name string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q of the requested type is registered; register it before the services that look it up", e.Name)
}

// Kernel holds the services of one process and the bus for their events.
type Kernel struct {
	log      *zap.Logger
	names    []string
	services map[string]Service
	bus      *gochannel.GoChannel
}

// New creates a kernel without services.
func New(log *zap.Logger) *Kernel {
	bus := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: eventBuffer}, watermill.NopLogger{})
	return &Kernel{log: log, services: map[string]Service{}, bus: bus}
}

// Register adds a service; services start in the order of their registration.
func (k *Kernel) Register(name string, service Service) {
	k.names = append(k.names, name)
	k.services[name] = service
}

// Lookup returns the service with the given name, or an UnknownServiceError if there
// is none of type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	service, fits := k.services[name].(T)
	if !fits {
		return service, errors.WithStack(&UnknownServiceError{Name: name})
	}
	return service, nil
}

// Start starts the services in the order of their registration and returns the first
// error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			return errors.Wrapf(err, "start service %s", name)
		}
	}
	return nil
}

// Stop stops the services in the reverse order of their registration, and combines
// their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var combined error
	for i := len(k.names) - 1; i >= 0; i-- {
		if err := k.services[k.names[i]].Stop(ctx); err != nil {
			combined = errors.CombineErrors(combined, errors.Wrapf(err, "stop service %s", k.names[i]))
		}
	}
	return errors.CombineErrors(combined, k.bus.Close())
}

// Publish publishes an event to all subscribers of the topic. Don't call it for every
// token of an answer: each event costs a message and a thread switch.
func (k *Kernel) Publish(topic string, payload []byte) {
	if err := k.bus.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload)); err != nil {
		k.log.Warn("event was not published", zap.String("topic", topic), zap.Error(err))
	}
}

// Subscribe returns a channel with the payloads of a topic; it is closed after ctx
// ends. The subscriber must keep receiving, because both buffers on the way are
// bounded.
func (k *Kernel) Subscribe(ctx context.Context, topic string) (<-chan []byte, error) {
	messages, err := k.bus.Subscribe(ctx, topic)
	if err != nil {
		return nil, errors.Wrapf(err, "subscribe to %s", topic)
	}
	s := &subscription{messages: messages, payloads: make(chan []byte, eventBuffer)}
	go s.run(ctx)
	return s.payloads, nil
}

type subscription struct {
	messages <-chan *message.Message
	payloads chan []byte
}

func (s *subscription) run(ctx context.Context) {
	defer close(s.payloads)
	for m := range s.messages {
		m.Ack()
		select {
		case s.payloads <- m.Payload:
		case <-ctx.Done():
		}
	}
}

// Package kernel starts the daemon's services, lets them find each other by
// name, and carries what they announce to one another.
//
// # Usage
//
//	k := kernel.New(log)
//	k.Register("claims", claims.New(common))
//	err := k.Start(ctx)
//	book, err := kernel.Lookup[*claims.Service](k, "claims")
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
)

// Topics of what services announce.
const (
	// ConfigurationChanged has an empty payload; ask the release service.
	ConfigurationChanged = "configuration-changed"
	// RequestFinished has a JSON payload of serving's finished line.
	RequestFinished = "request-finished"
)

const announcementBuffer = 256

// Service is one part of the daemon. Start returns when the service works;
// its threads end with the context of Start. Stop ends them in good order.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// UnknownServiceError says that a service looked for another that isn't there.
type UnknownServiceError struct{ Name string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q of the wanted type; register it before the one that needs it", e.Name)
}

// Kernel holds the services of one process.
type Kernel struct {
	log      *zap.Logger
	names    []string
	services map[string]Service
	bus      *gochannel.GoChannel
}

// New makes a kernel without services.
func New(log *zap.Logger) *Kernel {
	bus := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: announcementBuffer}, watermill.NopLogger{})
	return &Kernel{log: log, services: map[string]Service{}, bus: bus}
}

// Register adds a service; services start in the order of their registration.
func (k *Kernel) Register(name string, service Service) {
	k.names = append(k.names, name)
	k.services[name] = service
}

// Lookup finds a service by name.
func Lookup[T any](k *Kernel, name string) (T, error) {
	service, fits := k.services[name].(T)
	if !fits {
		return service, errors.WithStack(&UnknownServiceError{Name: name})
	}
	return service, nil
}

// Start starts all the services.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.names {
		if err := k.services[name].Start(ctx); err != nil {
			return errors.Wrapf(err, "start service %s", name)
		}
	}
	return nil
}

// Stop stops the services, the last started first.
func (k *Kernel) Stop(ctx context.Context) error {
	var failed error
	for i := len(k.names) - 1; i >= 0; i-- {
		if err := k.services[k.names[i]].Stop(ctx); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "stop service %s", k.names[i]))
		}
	}
	return errors.CombineErrors(failed, k.bus.Close())
}

// Announce tells every subscriber of the topic. It must stay off the path of a
// token: each announcement costs a message and a thread switch.
func (k *Kernel) Announce(topic string, payload []byte) {
	if err := k.bus.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload)); err != nil {
		k.log.Warn("announcement lost", zap.String("topic", topic), zap.Error(err))
	}
}

// Subscribe gives the payloads of a topic until ctx ends. Each must be received
// in good time.
func (k *Kernel) Subscribe(ctx context.Context, topic string) (<-chan []byte, error) {
	messages, err := k.bus.Subscribe(ctx, topic)
	if err != nil {
		return nil, errors.Wrapf(err, "subscribe to %s", topic)
	}
	s := &subscription{messages: messages, payloads: make(chan []byte, announcementBuffer)}
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

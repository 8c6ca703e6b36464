package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	outboxSize = 4096
	batchLimit = 128
	// idleOutbox ends the thread of a destination that nothing was sent to.
	idleOutbox = 30 * time.Second
)

// Outbox sends one-way messages to a service of other hosts, in order for each
// host, many in one call when they come fast. Messages may be lost; who needs
// one to arrive repeats it.
type Outbox struct {
	// To is the service that the messages are for.
	To      string
	Service *Service
	// Address finds a host by name.
	Address func(name string) (string, bool)
	// Failed hears of hosts that could not be reached.
	Failed func(name string)

	mu    sync.Mutex
	lanes map[string]*lane
}

// lane is the way to one host.
type lane struct {
	outbox *Outbox
	name   string
	ring   ring.Ring[any]
}

// Send queues a message for a host; false means that it was dropped. It is
// encoded by the lane's thread: a caller's stack that once grew for it would
// stay large as long as the caller waits.
func (o *Outbox) Send(ctx context.Context, name string, message any) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lanes == nil {
		o.lanes = map[string]*lane{}
	}
	l := o.lanes[name]
	if l == nil {
		l = &lane{outbox: o, name: name, ring: ring.New[any](outboxSize)}
		o.lanes[name] = l
		go l.run(ctx)
	}
	return l.ring.Offer(message)
}

func (l *lane) run(ctx context.Context) {
	var batch []any
	for {
		clear(batch)
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleOutbox):
			if l.retire() {
				return
			}
			continue
		case first := <-l.ring.Slots():
			batch = append(batch, first)
		}
		batch = l.ring.Drain(batch, batchLimit)
		l.deliver(ctx, batch)
	}
}

func (l *lane) retire() bool {
	l.outbox.mu.Lock()
	defer l.outbox.mu.Unlock()
	if l.ring.Len() > 0 {
		return false
	}
	delete(l.outbox.lanes, l.name)
	return true
}

func (l *lane) deliver(ctx context.Context, batch []any) {
	address, known := l.outbox.Address(l.name)
	if !known {
		l.outbox.Failed(l.name)
		return
	}
	body, err := encode(batch)
	if err != nil {
		return
	}
	_, err = l.outbox.Service.Call(ctx, address, l.outbox.To, body)
	if errors.HasType(err, (*SilentError)(nil)) {
		l.outbox.Failed(l.name)
	}
}

func encode(batch []any) ([]byte, error) {
	messages := make([][]byte, 0, len(batch))
	for _, message := range batch {
		data, err := cbor.Marshal(message)
		if err != nil {
			return nil, errors.Wrap(err, "encode a message")
		}
		messages = append(messages, data)
	}
	return cbor.Marshal(messages)
}

// Inbox gives the handler that takes an outbox's batches apart. Accept gets
// each message; one that it cannot read refuses the rest of its batch.
func Inbox(accept func(from host.Identity, message []byte) error) Handler {
	return func(from host.Identity, body []byte) ([]byte, error) {
		var batch [][]byte
		if err := cbor.Unmarshal(body, &batch); err != nil {
			return nil, &RefusedError{Why: "malformed batch"}
		}
		for _, message := range batch {
			if err := accept(from, message); err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
}

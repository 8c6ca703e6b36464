package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// queueSize bounds the queued messages for each host.
	queueSize = 4096
	// maxBatch bounds the messages in one call.
	maxBatch = 128
	// idleQueueTimeout is how long nothing is sent to a host before the goroutine
	// of its queue ends.
	idleQueueTimeout = 30 * time.Second
)

// Outbox sends one-way messages to a service on other hosts. It keeps their order
// for each host and combines queued messages into one call. Messages may be lost;
// a sender that needs one to arrive must repeat it. Hosts answer some of the calls
// only, see stream.
type Outbox struct {
	// TargetService is the name of the service that receives the messages.
	TargetService string
	Service       *Service
	// Address returns the address of the named host; false if it is unknown.
	Address func(name string) (string, bool)
	// OnUnreachable is called with the name of a host that could not be reached.
	OnUnreachable func(name string)

	mu     sync.Mutex
	queues map[string]*peerQueue
}

// peerQueue is the queue of messages to one host and the goroutine that sends
// them.
type peerQueue struct {
	outbox *Outbox
	name   string
	ring   ring.Ring[any]
}

// Send queues a message for a host and reports whether there was room; if not, the
// message is dropped. The queue's goroutine encodes the message, because encoding
// would enlarge the stack of the caller's goroutine, which stays large for as long
// as the caller waits.
func (o *Outbox) Send(ctx context.Context, name string, message any) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queues == nil {
		o.queues = map[string]*peerQueue{}
	}
	q := o.queues[name]
	if q == nil {
		q = &peerQueue{outbox: o, name: name, ring: ring.New[any](queueSize)}
		o.queues[name] = q
		go q.run(ctx)
	}
	return q.ring.Offer(message)
}

func (q *peerQueue) run(ctx context.Context) {
	st := stream{service: q.outbox.Service, target: q.outbox.TargetService}
	timer := time.NewTimer(idleQueueTimeout)
	defer timer.Stop()
	var batch []any
	for {
		clear(batch)
		batch = batch[:0]
		timer.Reset(st.pause())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if st.acknowledged() && q.removeIfEmpty() {
				return
			}
			q.check(st.expire())
		case <-st.ended():
			q.check(st.fail(net.ErrClosed))
		case <-st.answered():
			q.check(st.acknowledge())
		case first := <-q.ring.Values():
			batch = q.ring.Drain(append(batch, first), maxBatch)
			q.deliver(ctx, &st, batch)
		}
	}
}

// removeIfEmpty removes the queue from the outbox if it is empty, and reports
// whether it did.
func (q *peerQueue) removeIfEmpty() bool {
	q.outbox.mu.Lock()
	defer q.outbox.mu.Unlock()
	if q.ring.Len() > 0 {
		return false
	}
	delete(q.outbox.queues, q.name)
	return true
}

// deliver sends a batch in one call. The batch is dropped if that fails.
func (q *peerQueue) deliver(ctx context.Context, st *stream, batch []any) {
	address, found := q.outbox.Address(q.name)
	if !found {
		q.outbox.OnUnreachable(q.name)
		return
	}
	body, err := encode(batch)
	if err != nil {
		return
	}
	q.check(st.send(ctx, address, body))
}

// check reports the host as unreachable if err says so.
func (q *peerQueue) check(err error) {
	if err != nil && errors.HasType(err, (*TimeoutError)(nil)) {
		q.outbox.OnUnreachable(q.name)
	}
}

// encode returns the batch as a CBOR array of separately encoded messages, so that
// the receiver can decode each by itself.
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

// Inbox returns a handler for the batches of an Outbox. It calls accept with each
// message in order. If accept returns an error, the handler returns that error and
// skips the rest of the batch.
func Inbox(accept func(from host.Identity, message []byte) error) Handler {
	return func(from host.Identity, body []byte) ([]byte, error) {
		var batch [][]byte
		if err := cbor.Unmarshal(body, &batch); err != nil {
			return nil, &RefusedError{Reason: "malformed batch"}
		}
		for _, message := range batch {
			if err := accept(from, message); err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
}

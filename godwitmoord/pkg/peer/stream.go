package peer

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

// emptyBatch is an encoded batch without messages.
var emptyBatch = []byte{0x80}

// stream sends the batches of one queue to a host. A host that handles ordered calls
// gets most batches as one-way calls. One acknowledgement covers those of a third of
// the bound of a call: a batch sent then is an ordered call that is answered, and if
// there is none, an empty batch is sent. A batch after a pause is answered at once, as
// no other may follow soon. Any other host gets each batch as a call of its own.
//
// A host is unreachable if a batch isn't acknowledged within the bound of a call, or
// if the connection ends before that.
type stream struct {
	service *Service
	// target is the name of the service that receives the batches.
	target string

	connection *client
	address    string
	// oldest is when the first batch was sent that no acknowledgement was requested
	// for; zero if there is none.
	oldest time.Time
	// last is when the last batch was sent.
	last time.Time
	// request is the open call that requests an acknowledgement, or nil, and due is
	// when it must be answered.
	request *rpc.Call
	due     time.Time
}

// ackDelay is how long a batch may wait until its acknowledgement is requested.
func (st *stream) ackDelay() time.Duration { return st.service.timeout() / callTimeoutHeartbeats }

// acknowledged reports whether the host has acknowledged all batches.
func (st *stream) acknowledged() bool { return st.request == nil && st.oldest.IsZero() }

// pause returns how long nothing is to be done unless there is something to send.
func (st *stream) pause() time.Duration {
	switch {
	case st.request != nil:
		return time.Until(st.due)
	case !st.oldest.IsZero():
		return time.Until(st.oldest.Add(st.ackDelay()))
	default:
		return idleQueueTimeout
	}
}

// ended returns the channel that is closed when the connection ends; nil if all batches
// are acknowledged.
func (st *stream) ended() <-chan struct{} {
	if st.acknowledged() {
		return nil
	}
	return st.connection.codec.ended
}

// answered returns the channel that receives the answered request for an
// acknowledgement; nil if none is open.
func (st *stream) answered() <-chan *rpc.Call {
	if st.request == nil {
		return nil
	}
	return st.request.Done
}

// acknowledge ends a request that was received from answered.
func (st *stream) acknowledge() error {
	err := st.service.result(st.address, st.connection, st.request)
	if errors.HasType(err, (*TimeoutError)(nil)) {
		st.reset()
		return err
	}
	st.request = nil
	return nil
}

// expire does what is due after pause: it requests an acknowledgement, or gives up the
// connection if an open request has not been answered.
func (st *stream) expire() error {
	switch {
	case st.acknowledged():
		return nil
	case st.request != nil:
		return st.fail(context.DeadlineExceeded)
	}
	envelope, err := st.service.encodeEnvelope(st.target, emptyBatch)
	if err != nil {
		return err
	}
	st.requestAck(envelope)
	return nil
}

// fail gives up the connection, and with it the batches that are not acknowledged.
func (st *stream) fail(cause error) error {
	st.service.discard(st.address, st.connection)
	err := &TimeoutError{Address: st.address, Cause: cause}
	st.reset()
	return err
}

func (st *stream) reset() { *st = stream{service: st.service, target: st.target} }

// send sends a batch to the host at address. It returns a TimeoutError if the host did
// not take this batch, or may not have taken an earlier one.
func (st *stream) send(ctx context.Context, address string, batch []byte) error {
	envelope, err := st.service.encodeEnvelope(st.target, batch)
	if err != nil {
		return err
	}
	connection, err := st.service.connect(address)
	if err != nil {
		st.reset()
		return &TimeoutError{Address: address, Cause: err}
	}
	var lost error
	if st.connection != connection {
		if !st.acknowledged() {
			lost = &TimeoutError{Address: st.address, Cause: net.ErrClosed}
		}
		st.reset()
		st.connection, st.address = connection, address
	}
	return errors.CombineErrors(lost, st.sendEnvelope(ctx, envelope))
}

// sendEnvelope sends an encoded envelope in the way that the host supports.
func (st *stream) sendEnvelope(ctx context.Context, envelope []byte) error {
	previous := st.last
	st.last = time.Now()
	if !st.connection.codec.takesOneWay.Load() {
		call := st.call(envelope, time.Now().Add(st.service.timeout()))
		return st.service.await(ctx, st.address, st.connection, call)
	}
	if st.oldest.IsZero() {
		st.oldest = st.last
	}
	recent := st.last.Add(-st.ackDelay() / 2)
	if st.request == nil && (previous.Before(recent) || st.oldest.Before(recent)) {
		st.requestAck(envelope)
		return nil
	}
	return st.sendOneWay(envelope)
}

// requestAck sends an envelope as an ordered call, whose reply acknowledges all batches
// before it.
func (st *stream) requestAck(envelope []byte) {
	// Even if this host was paused and asks late, there is time for the reply.
	st.due = latest(st.oldest.Add(st.service.timeout()), time.Now().Add(st.ackDelay()))
	st.oldest = time.Time{}
	st.request = st.call(envelope, st.due)
}

// call sends an envelope as an ordered call.
func (st *stream) call(envelope []byte, deadline time.Time) *rpc.Call {
	st.service.countCall(len(envelope))
	argument := orderedCall{body: envelope, deadline: deadline}
	return st.connection.Go(rpcMethod, argument, new([]byte), make(chan *rpc.Call, 1))
}

func (st *stream) sendOneWay(envelope []byte) error {
	select {
	case <-st.connection.codec.ended:
		return st.fail(net.ErrClosed)
	default:
	}
	deadline := st.oldest.Add(st.service.timeout())
	if st.request != nil {
		deadline = st.due
	}
	if err := st.connection.codec.writeOneWay(envelope, deadline); err != nil {
		return st.fail(err)
	}
	st.service.countCall(len(envelope))
	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

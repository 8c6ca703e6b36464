package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/rollout"
)

const (
	// maxRecordLines bounds the counts in a record, maxBarredVersions the versions that
	// get no requests.
	maxRecordLines    = 512
	maxBarredVersions = 32
	// rolloutCallTimeout bounds a call of the store.
	rolloutCallTimeout = 2 * time.Second
)

// rolloutStore holds the orders, the records and the status of rollouts.
type rolloutStore interface {
	// RolloutOrders returns the newest order of each service.
	RolloutOrders() []rollout.Order
	// RolloutOrdered returns a channel that gets a value after a new order arrived.
	RolloutOrdered() <-chan struct{}
	// ReadRolloutRecord returns the record of a service, or the zero Entry if there is none.
	ReadRolloutRecord(ctx context.Context, service string) (keyvalue.Entry, error)
	// WriteRolloutRecord and WriteRolloutStatus write if the entry still has the given
	// revision; zero means that there must be none.
	WriteRolloutRecord(ctx context.Context, service string, value []byte, revision int64) (keyvalue.Outcome, error)
	WriteRolloutStatus(ctx context.Context, order rollout.Order, stage rollout.Stage, revision int64) (keyvalue.Outcome, error)
}

// rolloutRecord is what the owner of a service writes of its rollout, for the next owner.
type rolloutRecord struct {
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	Revision int64         `cbor:"4,keyasint"`
	Stage    string        `cbor:"5,keyasint"`
	// Began and StageSince are Unix times in nanoseconds.
	Began      int64               `cbor:"6,keyasint"`
	StageSince int64               `cbor:"7,keyasint"`
	Requests   int                 `cbor:"8,keyasint"`
	Reserved   int                 `cbor:"9,keyasint"`
	Lines      []rolloutRecordLine `cbor:"10,keyasint,omitempty"`
	// Barred are the versions that were reverted and not ordered again.
	Barred []string `cbor:"11,keyasint,omitempty"`
	// Host and Incarnation identify the process that wrote the record.
	Host        string `cbor:"12,keyasint"`
	Incarnation int64  `cbor:"13,keyasint"`
}

type rolloutRecordLine struct {
	Target    bool   `cbor:"1,keyasint,omitempty"`
	Route     string `cbor:"2,keyasint,omitempty"`
	Endpoint  string `cbor:"3,keyasint,omitempty"`
	Responses int    `cbor:"4,keyasint"`
	Bad       int    `cbor:"5,keyasint,omitempty"`
}

// newRolloutRecord returns the record that a process writes.
func newRolloutRecord(r rollout.Record, barred []string, self host.Identity) rolloutRecord {
	wire := rolloutRecord{
		Service: r.Order.Service, Target: r.Order.Target, Duration: r.Order.Duration, Revision: r.Order.Revision,
		Stage: string(r.Stage), Began: r.Began.UnixNano(), StageSince: r.StageSince.UnixNano(),
		Requests: r.Requests, Reserved: r.Reserved, Barred: barred, Host: self.Name, Incarnation: self.Incarnation,
	}
	for _, line := range r.Lines[:min(len(r.Lines), maxRecordLines)] {
		wire.Lines = append(wire.Lines, rolloutRecordLine{
			Target: line.Source.Target, Route: line.Source.Route, Endpoint: line.Source.Endpoint,
			Responses: line.Counts.Responses, Bad: line.Counts.Bad,
		})
	}
	return wire
}

// record returns the record that the wire type holds.
func (w rolloutRecord) record() rollout.Record {
	r := rollout.Record{
		Order: rollout.Order{Service: w.Service, Target: w.Target, Duration: w.Duration, Revision: w.Revision},
		Stage: rollout.Stage(w.Stage), Began: time.Unix(0, w.Began), StageSince: time.Unix(0, w.StageSince),
		Requests: w.Requests, Reserved: w.Reserved,
	}
	for _, line := range w.Lines {
		r.Lines = append(r.Lines, rollout.Line{
			Source: rollout.Source{Target: line.Target, Route: line.Route, Endpoint: line.Endpoint},
			Counts: rollout.Counts{Responses: line.Responses, Bad: line.Bad},
		})
	}
	return r
}

// storeCall is one call of the store for a rollout. It runs in a goroutine of its own and
// sends its result to done.
type storeCall struct {
	store   rolloutStore
	service string
	kind    storeCallKind
	record  rollout.Record
	// barred and self complete a record that is written.
	barred   []string
	self     host.Identity
	revision int64
	done     chan<- storeCallResult
}

type storeCallKind uint8

const (
	readRecord storeCallKind = iota
	writeRecord
	writeStatus
)

// storeCallResult is the result of a storeCall.
type storeCallResult struct {
	call  *storeCall
	entry keyvalue.Entry
	// found is the record that was read, if there is one.
	found   rolloutRecord
	outcome keyvalue.Outcome
	err     error
}

func (c *storeCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	result := storeCallResult{call: c}
	switch c.kind {
	case readRecord:
		result.entry, result.err = c.store.ReadRolloutRecord(ctx, c.service)
		if result.err == nil && result.entry.Found() {
			result.err = errors.Wrap(cbor.Unmarshal(result.entry.Value, &result.found), "decode the record of a rollout")
		}
	case writeRecord:
		var data []byte
		if data, result.err = cbor.Marshal(newRolloutRecord(c.record, c.barred, c.self)); result.err == nil {
			result.outcome, result.err = c.store.WriteRolloutRecord(ctx, c.service, data, c.revision)
		}
	case writeStatus:
		result.outcome, result.err = c.store.WriteRolloutStatus(ctx, c.record.Order, c.record.Stage, c.revision)
	}
	c.done <- result
}

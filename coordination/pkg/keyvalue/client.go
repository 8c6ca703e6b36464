package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/reply"
)

const (
	defaultCallTimeout = 2 * time.Second
	maxReplyBytes      = 4 << 20
)

// defaultHTTP is shared so that clients without one of their own reuse connections.
var defaultHTTP = &http.Client{Transport: reply.NewTransport()}

// Client calls one key-value service over HTTP. Only URL must be set.
type Client struct {
	// URL is the service's base URL, for instance http://127.0.0.1:2379.
	URL string
	// CallTimeout bounds each call; zero means 2 s.
	CallTimeout time.Duration
	// HTTP is the HTTP client; nil means one that bounds the response header.
	HTTP *http.Client

	reads  atomic.Int64
	writes atomic.Int64
}

// Calls returns the number of read and write calls made so far.
func (c *Client) Calls() (reads, writes int64) { return c.reads.Load(), c.writes.Load() }

// These types are the messages of the protocol. In its JSON form, 64-bit numbers
// are strings and bytes are base64.
type (
	entryWire struct {
		Key      []byte `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"mod_revision,string"`
	}
	rangeRequest struct {
		Key []byte `json:"key"`
	}
	// rangeReply has a header unless it is part of a transaction's reply.
	rangeReply struct {
		Header  *headerWire `json:"header"`
		Entries []entryWire `json:"kvs"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}
	compareWire struct {
		Key            []byte `json:"key"`
		Target         string `json:"target"`
		Result         string `json:"result"`
		CreateRevision *int64 `json:"create_revision,string,omitempty"`
		ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	}
	operationWire struct {
		Put   *putRequest   `json:"request_put,omitempty"`
		Range *rangeRequest `json:"request_range,omitempty"`
	}
	transactionRequest struct {
		Compare []compareWire   `json:"compare"`
		Success []operationWire `json:"success"`
		Failure []operationWire `json:"failure"`
	}
	headerWire struct {
		Revision int64 `json:"revision,string"`
	}
	transactionReply struct {
		Header    *headerWire `json:"header"`
		Succeeded bool        `json:"succeeded"`
		Responses []struct {
			Range *rangeReply `json:"response_range"`
		} `json:"responses"`
	}
	leaseRequest struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}
	leaseReply struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	errorReply struct {
		Message string `json:"message"`
	}
)

// Read returns the entry of key, or the zero Entry if there is none.
func (c *Client) Read(ctx context.Context, key string) (Entry, error) {
	c.reads.Add(1)
	var reply rangeReply
	err := c.call(ctx, "range", "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply)
	if err != nil {
		return Entry{}, err
	}
	if reply.Header == nil {
		return Entry{}, incomplete("range", key, "there is no header")
	}
	return reply.entry("range", key)
}

// Create writes a key only if it does not exist.
func (c *Client) Create(ctx context.Context, creation Creation) (Outcome, error) {
	var zero int64
	key := []byte(creation.Key)
	txn := transactionRequest{
		Compare: []compareWire{{Key: key, Target: "CREATE", Result: "EQUAL", CreateRevision: &zero}},
		Success: []operationWire{{Put: &putRequest{Key: key, Value: creation.Value, Lease: int64(creation.Lease)}}},
		Failure: []operationWire{{Range: &rangeRequest{Key: key}}},
	}
	if creation.Guard != "" {
		guard := []byte(creation.Guard)
		txn.Compare = append(txn.Compare, compareWire{Key: guard, Target: "CREATE", Result: "GREATER", CreateRevision: &zero})
	}
	outcome, err := c.transact(ctx, txn, creation.Key, creation.Lease)
	if err == nil && !outcome.Applied && !outcome.Current.Found() {
		outcome.GuardLost = true
	}
	return outcome, err
}

// Swap writes value only if the key still has the given revision.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease Lease) (Outcome, error) {
	keyBytes := []byte(key)
	txn := transactionRequest{
		Compare: []compareWire{{Key: keyBytes, Target: "MOD", Result: "EQUAL", ModRevision: &revision}},
		Success: []operationWire{{Put: &putRequest{Key: keyBytes, Value: value, Lease: int64(lease)}}},
		Failure: []operationWire{{Range: &rangeRequest{Key: keyBytes}}},
	}
	return c.transact(ctx, txn, key, lease)
}

// transact makes a transaction that writes key, or else reads it.
func (c *Client) transact(ctx context.Context, txn transactionRequest, key string, lease Lease) (Outcome, error) {
	c.writes.Add(1)
	var reply transactionReply
	err := c.call(ctx, "txn", "/v3/kv/txn", txn, &reply)
	if isLeaseMissing(err) {
		return Outcome{}, &LeaseExpiredError{Lease: lease}
	}
	if err != nil {
		return Outcome{}, err
	}
	switch {
	case reply.Header == nil:
		return Outcome{}, incomplete("txn", key, "there is no header")
	case reply.Succeeded:
		return Outcome{Applied: true, Revision: reply.Header.Revision}, nil
	case len(reply.Responses) == 0 || reply.Responses[0].Range == nil:
		return Outcome{}, incomplete("txn", key, "the entry that prevented the write was not read")
	}
	current, err := reply.Responses[0].Range.entry("txn", key)
	return Outcome{Current: current}, err
}

// Grant creates a lease that expires after life, rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, life time.Duration) (Lease, error) {
	c.writes.Add(1)
	seconds := int64((life + time.Second - 1) / time.Second)
	var reply leaseReply
	err := c.call(ctx, "lease grant", "/v3/lease/grant", leaseRequest{TTL: seconds}, &reply)
	if err != nil {
		return 0, err
	}
	if reply.ID == 0 {
		return 0, &UnreachableError{Operation: "lease grant", Cause: &IncompleteReplyError{Problem: "there is no lease ID"}}
	}
	return Lease(reply.ID), nil
}

func (c *Client) call(ctx context.Context, operation, path string, request, into any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrapf(err, "encode %s", operation)
	}
	timeout := c.CallTimeout
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "prepare %s", operation)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	client := c.HTTP
	if client == nil {
		client = defaultHTTP
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return &UnreachableError{Operation: operation, Cause: err}
	}
	defer response.Body.Close()
	return decodeReply(operation, response, into)
}

func decodeReply(operation string, response *http.Response, into any) error {
	data, err := reply.Read(response.Body, maxReplyBytes)
	if err != nil {
		return &UnreachableError{Operation: operation, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		var problem errorReply
		// If the body cannot be decoded, the message stays empty and the error
		// reports the status alone.
		_ = json.Unmarshal(data, &problem)
		return &UnreachableError{Operation: operation, Cause: fmt.Errorf("status %d: %s", response.StatusCode, problem.Message)}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &UnreachableError{Operation: operation, Cause: err}
	}
	return nil
}

func isLeaseMissing(err error) bool {
	return err != nil && strings.Contains(err.Error(), "requested lease not found")
}

// entry returns the entry of key, or the zero Entry if the reply has no entry. The
// reply must have no other.
func (r *rangeReply) entry(operation, key string) (Entry, error) {
	if len(r.Entries) == 0 {
		return Entry{}, nil
	}
	e := r.Entries[0]
	if string(e.Key) != key || e.Revision == 0 {
		return Entry{}, incomplete(operation, key, fmt.Sprintf("there is key %q at revision %d", e.Key, e.Revision))
	}
	return Entry{Key: key, Value: e.Value, Revision: e.Revision}, nil
}

// incomplete returns the error of a call on key whose reply arrived but is not the
// whole reply.
func incomplete(operation, key, problem string) error {
	cause := &IncompleteReplyError{Problem: fmt.Sprintf("for key %q %s", key, problem)}
	return &UnreachableError{Operation: operation, Cause: cause}
}

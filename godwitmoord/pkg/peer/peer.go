// Package peer sends calls between hosts over net/rpc. Every call has a deadline.
// A connection on which a call timed out is closed and not reused, because it may
// still be open although nothing reaches the other end.
//
// net/rpc handles the calls of a connection concurrently and answers each. The batches
// of an Outbox need order and no answer: the codec handles them itself, before it reads
// the next frame, and answers those only that request an acknowledgement.
//
// # Usage
//
//	peers.Handle("owner", owner.handle)
//	reply, err := peers.Call(ctx, address, "owner", body)
package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/common"
)

const (
	// protocolVersion is sent with each call; a host refuses calls of any other
	// version.
	protocolVersion = 1
	callTimeout     = 2 * time.Second
	// callTimeoutHeartbeats is the bound of a call on the platform, in heartbeats.
	callTimeoutHeartbeats = 3
	dialTimeout           = time.Second
	// idleConnTimeout is how long a connection to another host may be unused
	// before it is closed.
	idleConnTimeout = 8 * time.Second
	// acceptedIdleTimeout is the same for a connection that another host opened and
	// closes first. It is longer, so that a host that was paused can still use it.
	acceptedIdleTimeout = time.Minute
	rpcName             = "Host"
	rpcMethod           = "Host.Call"
)

// Handler handles a call from another host and returns the reply.
type Handler func(from host.Identity, body []byte) ([]byte, error)

// envelope is the encoded argument of a call: the target service, the calling
// host and the body for the service's handler.
type envelope struct {
	Version     int    `cbor:"1,keyasint"`
	To          string `cbor:"2,keyasint"`
	From        string `cbor:"3,keyasint"`
	Incarnation int64  `cbor:"4,keyasint"`
	Body        []byte `cbor:"5,keyasint"`
}

// RefusedError reports that the host at the other end, or the handler of its
// service, refused a call.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer call refused: %s; run the same version on all hosts", e.Reason)
}

// TimeoutError reports that a host could not be reached or did not reply in time.
type TimeoutError struct {
	Address string
	Cause   error
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("host at %s did not reply: %v; check that it is running and reachable", e.Address, e.Cause)
}

func (e *TimeoutError) Unwrap() error { return e.Cause }

// Service accepts calls from other hosts and sends calls to them.
type Service struct {
	common   *common.Common
	listener net.Listener
	server   *rpc.Server

	mu       sync.Mutex
	handlers map[string]Handler
	clients  map[string]*client
	accepted map[net.Conn]bool
	closed   bool
}

// client is a connection for calls to one host.
type client struct {
	*rpc.Client
	codec clientCodec
	used  time.Time
}

// New returns a service that has no handlers and does not listen yet.
func New(c *common.Common) *Service {
	return &Service{
		common:   c,
		server:   rpc.NewServer(),
		handlers: map[string]Handler{},
		clients:  map[string]*client{},
		accepted: map[net.Conn]bool{},
	}
}

// Handle registers the handler of calls to a service.
func (s *Service) Handle(service string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[service] = handler
}

// receiver is the object registered with net/rpc. Its one method takes and returns
// bytes, because net/rpc ignores methods with unexported types.
type receiver struct{ service *Service }

// Call handles one encoded envelope.
func (r *receiver) Call(request []byte, reply *[]byte) error {
	body, err := r.service.receive(request)
	*reply = body
	return err
}

// Start opens the listener, accepts connections and closes idle ones.
func (s *Service) Start(ctx context.Context) error {
	if err := s.server.RegisterName(rpcName, &receiver{service: s}); err != nil {
		return errors.Wrap(err, "register the peer receiver")
	}
	listener, err := net.Listen("tcp", s.common.Settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers; set a free peer-listen address")
	}
	s.listener = listener
	go s.run()
	go s.loop(ctx)
	return nil
}

// run serves connections from other hosts until the listener is closed.
func (s *Service) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.isFull() {
			s.common.Shortages.Report(budget.HostRefused)
			_ = conn.Close()
			continue
		}
		if !s.trackAccepted(conn) {
			return
		}
		server := &serverConn{service: s, conn: conn}
		go server.run()
	}
}

// loop closes connections that have not been used for idleConnTimeout.
// Heartbeats go to random hosts, and open connections to hundreds of hosts would
// cost more memory than the table of hosts.
func (s *Service) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleConnTimeout / 2):
		}
		s.mu.Lock()
		for address, c := range s.clients {
			if time.Since(c.used) > idleConnTimeout {
				delete(s.clients, address)
				_ = c.Close()
			}
		}
		s.mu.Unlock()
	}
}

// isFull reports whether other hosts have as many connections open as they may.
func (s *Service) isFull() bool {
	maxAccepted := budget.Connections(s.common.Settings.Descriptors)
	s.mu.Lock()
	defer s.mu.Unlock()
	return maxAccepted > 0 && len(s.accepted) >= maxAccepted
}

// trackAccepted records an accepted connection so that Stop can close it. After
// Stop it closes the connection and returns false.
func (s *Service) trackAccepted(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.accepted[conn] = true
	return true
}

// serverConn serves one accepted connection.
type serverConn struct {
	service *Service
	conn    net.Conn
}

func (c *serverConn) run() {
	codec := c.service.newCodec(c.conn, callTimeout)
	codec.idleTimeout = acceptedIdleTimeout
	c.service.server.ServeCodec(serverCodec{codec: codec, receive: c.service.receive})
	c.service.mu.Lock()
	delete(c.service.accepted, c.conn)
	c.service.mu.Unlock()
}

// Stop closes the listener and all connections.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.accepted {
		_ = conn.Close()
	}
	for _, c := range s.clients {
		_ = c.Close()
	}
	if s.listener == nil {
		return nil
	}
	return errors.Wrap(s.listener.Close(), "close the peer listener")
}

// receive decodes an envelope and passes its body to the handler of the service.
func (s *Service) receive(request []byte) ([]byte, error) {
	var e envelope
	if err := cbor.Unmarshal(request, &e); err != nil {
		s.common.Count("peer.refused.malformed")
		return nil, &RefusedError{Reason: "malformed envelope"}
	}
	if e.Version != protocolVersion {
		s.common.Count("peer.refused.version")
		return nil, &RefusedError{Reason: fmt.Sprintf("unsupported protocol version %d", e.Version)}
	}
	s.mu.Lock()
	handler := s.handlers[e.To]
	s.mu.Unlock()
	if handler == nil || e.From == "" {
		s.common.Count("peer.refused.address")
		return nil, &RefusedError{Reason: fmt.Sprintf("service %q is not registered on this host", e.To)}
	}
	reply, err := handler(host.Identity{Name: e.From, Incarnation: e.Incarnation}, e.Body)
	if err != nil {
		s.common.Count("peer.refused.body")
		s.common.Log.Warn("peer call refused", zap.String("from", e.From), zap.String("to", e.To), zap.Error(err))
	}
	return reply, err
}

// Call sends body to a service of the host at address and returns the reply.
func (s *Service) Call(ctx context.Context, address, service string, body []byte) ([]byte, error) {
	request, err := s.encodeEnvelope(service, body)
	if err != nil {
		return nil, err
	}
	connection, err := s.connect(address)
	if err != nil {
		return nil, &TimeoutError{Address: address, Cause: err}
	}
	var reply []byte
	call := connection.Go(rpcMethod, request, &reply, make(chan *rpc.Call, 1))
	if err := s.await(ctx, address, connection, call); err != nil {
		return nil, err
	}
	s.countCall(len(request) + len(reply))
	return reply, nil
}

// encodeEnvelope returns the argument of a call of this host to a service.
func (s *Service) encodeEnvelope(service string, body []byte) ([]byte, error) {
	request, err := cbor.Marshal(envelope{
		Version:     protocolVersion,
		To:          service,
		From:        s.common.Self.Name,
		Incarnation: s.common.Self.Incarnation,
		Body:        body,
	})
	return request, errors.Wrap(err, "encode the envelope")
}

// await waits for the reply to a call. It discards the connection if none arrives.
func (s *Service) await(ctx context.Context, address string, connection *client, call *rpc.Call) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout())
	defer cancel()
	select {
	case <-ctx.Done():
		s.discard(address, connection)
		return &TimeoutError{Address: address, Cause: ctx.Err()}
	case <-call.Done:
		return s.result(address, connection, call)
	}
}

// result returns the error of a call that has ended. It discards the connection if the
// call got no reply.
func (s *Service) result(address string, connection *client, call *rpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return &RefusedError{Reason: string(refused)}
	}
	s.discard(address, connection)
	return &TimeoutError{Address: address, Cause: call.Error}
}

// countCall counts a call to another host, and its bytes in both directions.
func (s *Service) countCall(bytes int) {
	s.common.Count("peer.calls")
	s.common.CountBytes("peer.bytes", bytes)
}

// timeout returns the bound of a call. On the platform callers wait for an owner
// for less than a second, so an unresponsive owner must be detected sooner.
func (s *Service) timeout() time.Duration {
	if s.common.Settings.Platform != nil {
		return callTimeoutHeartbeats * s.common.Settings.Heartbeat.Std()
	}
	return callTimeout
}

// connect returns the open connection to a host, or opens one.
func (s *Service) connect(address string) (*client, error) {
	s.mu.Lock()
	existing := s.clients[address]
	closed := s.closed
	if existing != nil {
		existing.used = time.Now()
	}
	s.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if existing != nil {
		return existing, nil
	}
	conn, err := net.DialTimeout("tcp", address, min(dialTimeout, s.timeout()))
	if err != nil {
		return nil, err
	}
	codec := s.clientCodec(conn)
	opened := &client{Client: rpc.NewClientWithCodec(codec), codec: codec, used: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if concurrent := s.clients[address]; concurrent != nil {
		_ = opened.Close()
		return concurrent, nil
	}
	s.clients[address] = opened
	return opened, nil
}

func (s *Service) clientCodec(conn net.Conn) clientCodec {
	return clientCodec{s.newCodec(conn, s.timeout())}
}

// newCodec returns a codec whose frames are charged to the host's account.
func (s *Service) newCodec(conn net.Conn, frameTimeout time.Duration) *codec {
	c := newCodec(conn, frameTimeout)
	c.account, c.shortages = s.common.Budget, s.common.Shortages
	return c
}

// discard closes a connection and keeps later calls from using it.
func (s *Service) discard(address string, c *client) {
	s.mu.Lock()
	if s.clients[address] == c {
		delete(s.clients, address)
	}
	s.mu.Unlock()
	_ = c.Close()
}

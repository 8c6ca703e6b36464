// Package front is the HTTP server for callers. It turns an HTTP request into a
// serving.Request and writes the answer or the refusal.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	// boundedHeaderBytes bounds a head while memory is bounded, as short fields need many
	// times their size. No client within the platform's limits exceeds it.
	boundedHeaderBytes = 16 << 10
	readBodyTimeout    = 30 * time.Second
	idleTimeout        = 90 * time.Second
	// unreadGrace is how long after its deadline a request may wait for its caller to read
	// the answer.
	unreadGrace = 250 * time.Millisecond
	// lastWriteTime bounds the write of a refusal, and of what is left of an answer when
	// its request has ended.
	lastWriteTime = 10 * time.Second
	// bytesPerToken estimates the tokens of a prompt from its length, as the caller
	// does not send their number.
	bytesPerToken = 4
	// defaultAnswerTokens is assumed if the body has no max_tokens; maxAnswerTokens
	// limits the max_tokens of a body.
	defaultAnswerTokens = 256
	maxAnswerTokens     = 1 << 20
	// defaultBodyLimit is the largest body in bytes if the service sets no limit.
	defaultBodyLimit = 8 << 20
)

// Headers of callers' requests.
const (
	keyHeader     = exchange.IdempotencyKeyHeader
	tierHeader    = exchange.TierHeader
	timeoutHeader = exchange.TimeoutHeader
)

// Service is the HTTP server for callers.
type Service struct {
	common  *common.Common
	release *release.Service
	serving *serving.Service
	server  *http.Server
	// listener is nil if callers' connections are not bounded and nothing is spooled.
	listener *boundedListener
	// stopping is true once this host stops: each answer then closes its connection.
	stopping atomic.Bool
}

// New returns a service that serves nothing until Start.
func New(c *common.Common) *Service { return &Service{common: c} }

// Start opens the listener and serves callers.
func (s *Service) Start(context.Context) error {
	var err error
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.serving, err = kernel.Lookup[*serving.Service](s.common.Kernel, kernel.Serving); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.common.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers; set a free listen address")
	}
	s.server = &http.Server{
		Handler:           s.handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       withConnection,
	}
	if s.common.Budget != nil {
		s.server.MaxHeaderBytes = boundedHeaderBytes
	}
	go s.run(s.bounded(listener))
	return nil
}

// bounded returns the listener with the bounds of the settings, and with spooling where
// the deployment calls for it; without both it returns the listener itself.
func (s *Service) bounded(listener net.Listener) net.Listener {
	maxOpen := budget.Connections(s.common.Settings.Descriptors)
	if s.common.Budget == nil && maxOpen == 0 && !s.common.Features.SpoolAnswers {
		return listener
	}
	s.listener = &boundedListener{
		Listener: listener, account: s.common.Budget, shortages: s.common.Shortages, maxOpen: maxOpen,
		spools: s.common.Features.SpoolAnswers, unreadTime: unreadTime, fullTime: fullTime, open: map[*callerConn]struct{}{},
	}
	s.server.ConnState = recordPhase
	return s.listener
}

// handler returns the handler for every method and path. With platform settings
// there is no router, which would clean or redirect paths: callers of the platform
// may use a path in any form.
func (s *Service) handler() http.Handler {
	if s.common.Settings.Platform != nil {
		return http.HandlerFunc(s.serve)
	}
	router := chi.NewRouter()
	router.HandleFunc("/*", s.serve)
	return router
}

// run serves the listener's connections until the server is closed.
func (s *Service) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.common.Log.Error("HTTP server for callers ended", zap.Error(err))
	}
}

// BeginStop makes each answer close its connection, so that callers connect to other
// hosts. Requests in progress, and those that arrive from now on, get their answers by
// end, when those still in progress are cut off; the zero time means never.
func (s *Service) BeginStop(end time.Time) {
	s.stopping.Store(true)
	if s.serving != nil && !end.IsZero() {
		s.serving.BeginStop(end)
	}
}

// Stop accepts no new connections and waits for the requests in progress. If ctx
// ends first, it closes the remaining connections.
func (s *Service) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.common.Log.Warn("requests still in progress at stop-bound were cut off", zap.Error(err))
		return s.server.Close()
	}
	if s.listener != nil {
		s.listener.awaitSpools(ctx)
	}
	return nil
}

// rejection is why a request is refused before it reaches package serving.
type rejection struct {
	status     int
	reason     text.Reason
	retryAfter time.Duration
}

// serve answers one HTTP request.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	body := newCallerBody(s, w, r)
	defer body.close()
	current := s.release.Current()
	if current == nil {
		body.refuse(text.NotReady)
		s.refuse(w, "", http.StatusServiceUnavailable, serving.Refused{Outcome: text.NotRun, Reason: text.NotReady, RetryAfter: time.Second})
		return
	}
	request, rejected := s.readRequest(body, r, current, arrived)
	if rejected != nil {
		body.refuse(rejected.reason)
		s.common.Count("front.faults." + string(rejected.reason))
		s.common.Log.Info("request refused", zap.String("caller-id", request.CallerID), zap.String("reason", string(rejected.reason)),
			zap.String("request", request.ID), zap.String("route", request.Route), zap.Int("status", rejected.status),
			zap.Int64("version", current.Version), zap.Duration("version-proven-ago", s.release.Age(current.Version)))
		s.refuse(w, request.ID, rejected.status, serving.Refused{Outcome: text.NotRun, Reason: rejected.reason, RetryAfter: rejected.retryAfter})
		return
	}
	writer := &answerWriter{writer: w, control: body.control, request: request.ID, host: s.common.Self.Name}
	finished := resetUnfinished(r)
	guard := guardUnread(r, request.Deadline.Add(unreadGrace))
	switch result := s.serving.Serve(r.Context(), request, writer).(type) {
	case serving.Refused:
		guard.end()
		body.boundLastWrite()
		s.refuse(w, request.ID, statusOf(result), result)
	case serving.Broken:
		guard.abort()
		// Closing the connection in the middle of the answer is the only sign that
		// every HTTP client recognizes as an incomplete answer.
		panic(http.ErrAbortHandler)
	case serving.Delivered:
		guard.end()
		body.boundLastWrite()
	}
	finished()
}

// readRequest converts an HTTP request: with platform settings by the routes of the
// configuration, otherwise by the services' prefixes and the rules.
func (s *Service) readRequest(body *callerBody, r *http.Request, current *release.InForce, arrived time.Time) (serving.Request, *rejection) {
	if rejected := body.chargeHead(); rejected != nil {
		return serving.Request{}, rejected
	}
	if s.common.Settings.Platform != nil {
		return s.readByRoutes(body, r, current, arrived)
	}
	return s.readByRules(body, r, &current.Configuration, arrived)
}

// readByRules converts an HTTP request by the services' prefixes and the rules. If
// it returns a rejection, the request holds only what was read before that.
func (s *Service) readByRules(body *callerBody, r *http.Request, c *configuration.Configuration, arrived time.Time) (serving.Request, *rejection) {
	request := serving.Request{ID: uuid.NewString(), Method: r.Method, Arrived: arrived, Claims: c.Claims}
	customer, known := customerOf(c, r)
	if !known {
		return request, &rejection{status: http.StatusUnauthorized, reason: text.Unauthorized}
	}
	request.Customer = customer.Name
	service, path, found := c.Route(r.URL.Path)
	if !found {
		return request, &rejection{status: http.StatusNotFound, reason: text.NoSuchService}
	}
	request.Service = *service
	request.Path = withQuery(path, r.URL.RawQuery)
	rule := c.RuleFor(service.Name, r.Method, path)
	request.Idempotent = rule.Idempotent
	if rejected := setTier(&request, c, customer, rule, r.Header.Get(tierHeader)); rejected != nil {
		return request, rejected
	}
	if rejected := setDeadline(&request, c, r.Header.Get(timeoutHeader)); rejected != nil {
		return request, rejected
	}
	if rejected := setKey(&request, r.Header.Get(keyHeader)); rejected != nil {
		return request, rejected
	}
	if rejected := body.readInto(&request); rejected != nil {
		return request, rejected
	}
	request.Body, request.BodyRest = body.whole(), nil
	request.Header = endpointHeader(r)
	request.Parts = sharedParts(exchange.ParseParts(r.Header.Get(exchange.PartsHeader)))
	request.Subject = request.Key
	if request.Key == "" {
		request.Subject = claim.Fingerprint(r.Method, path, request.Body)
	}
	request.Streams = service.Kind == configuration.Model
	if service.Kind == configuration.Model {
		request.PromptTokens, request.AnswerTokens = estimateTokens(request.Body)
	}
	return request, nil
}

// customerOf returns the customer whose bearer token the request carries.
func customerOf(c *configuration.Configuration, r *http.Request) (configuration.Customer, bool) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer {
		return configuration.Customer{}, false
	}
	digest := sha256.Sum256([]byte(token))
	tokenHash := hex.EncodeToString(digest[:])
	i := slices.IndexFunc(c.Customers, func(customer configuration.Customer) bool { return customer.TokenSHA256 == tokenHash })
	if i < 0 {
		return configuration.Customer{}, false
	}
	return c.Customers[i], true
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// setTier sets the tier that the caller asked for, which must be granted to the
// customer. If it asked for none, that is the tier of the rule, or if that is not
// granted the best one granted below it.
func setTier(request *serving.Request, c *configuration.Configuration, customer configuration.Customer, rule configuration.Rule, requested string) *rejection {
	if requested != "" {
		rank, known := c.TierRank(requested)
		if !known {
			return &rejection{status: http.StatusBadRequest, reason: text.UnknownTier}
		}
		if !slices.Contains(customer.Tiers, requested) {
			return &rejection{status: http.StatusForbidden, reason: text.TierNotGranted}
		}
		request.Tier, request.Rank = requested, rank
		return nil
	}
	ruleRank, _ := c.TierRank(rule.Tier)
	for rank := ruleRank; rank < len(c.Tiers); rank++ {
		if slices.Contains(customer.Tiers, c.Tiers[rank].Name) {
			request.Tier, request.Rank = c.Tiers[rank].Name, rank
			return nil
		}
	}
	return &rejection{status: http.StatusForbidden, reason: text.TierNotGranted}
}

// setDeadline sets the deadline of the tier, or an earlier one if the caller asked
// for a shorter timeout.
func setDeadline(request *serving.Request, c *configuration.Configuration, requested string) *rejection {
	allowed := c.Deadline(request.Rank)
	if requested != "" {
		timeout, err := time.ParseDuration(requested)
		if err != nil || timeout <= 0 {
			return &rejection{status: http.StatusBadRequest, reason: text.BadTimeout}
		}
		allowed = min(allowed, timeout)
	}
	request.Deadline = request.Arrived.Add(allowed)
	return nil
}

// setKey sets the idempotency key, which every request that is not idempotent must
// carry.
func setKey(request *serving.Request, key string) *rejection {
	if request.Idempotent {
		return nil
	}
	if key == "" {
		return &rejection{status: http.StatusBadRequest, reason: text.KeyMissing}
	}
	// The Idempotency-Key header specification puts the key in quotes.
	parsed, err := uuid.Parse(strings.Trim(key, `"`))
	if err != nil {
		return &rejection{status: http.StatusBadRequest, reason: text.KeyMalformed}
	}
	request.Key = parsed.String()
	if _, err := (claim.Key{ID: request.Key}).Created(); err != nil {
		return &rejection{status: http.StatusBadRequest, reason: text.KeyMalformed}
	}
	return nil
}

// droppedHeaders lists the headers of callers that are not passed on to endpoints:
// those that only this system may set, and those that are meant for this host.
var droppedHeaders = []string{
	"Authorization", expectHeader, keyHeader, "X-Idempotency-Key", tierHeader, timeoutHeader,
	exchange.RequestHeader, exchange.AttemptHeader, exchange.KeyHeader, exchange.OffsetHeader,
}

// endpointHeader returns the headers that are passed on to the endpoint.
func endpointHeader(r *http.Request) http.Header {
	header := exchange.EndToEnd(r.Header)
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	return header
}

// estimateTokens returns the estimated prompt and answer tokens of a model request.
func estimateTokens(body []byte) (prompt, answer int) {
	// Without a prompt field, the length of the whole body is used.
	length := len(gjson.GetBytes(body, "prompt").Raw)
	if length == 0 {
		length = len(body)
	}
	answer = defaultAnswerTokens
	if maxTokens := gjson.GetBytes(body, "max_tokens").Int(); maxTokens > 0 {
		answer = int(min(maxTokens, maxAnswerTokens))
	}
	return max(1, length/bytesPerToken), answer
}

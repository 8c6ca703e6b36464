// Package front meets the callers over HTTP.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
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
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 10 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 90 * time.Second
	// bytesPerToken estimates a prompt's tokens where the caller does not tell.
	bytesPerToken       = 4
	defaultAnswerTokens = 256
	maxAnswerTokens     = 1 << 20
	// defaultBodyLimit bounds the body of a request whose service does not, in
	// bytes.
	defaultBodyLimit = 8 << 20
)

// Headers that callers send.
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
	// stopping makes each answer the last one of its connection.
	stopping atomic.Bool
}

// New makes the service.
func New(c *common.Common) *Service { return &Service{common: c} }

// Start opens the listener.
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
	}
	go s.run(listener)
	return nil
}

// handler serves every method and path. The platform's callers may use any
// form of a path, so nothing there cleans or redirects it.
func (s *Service) handler() http.Handler {
	if s.common.Settings.Platform != nil {
		return http.HandlerFunc(s.serve)
	}
	router := chi.NewRouter()
	router.HandleFunc("/*", s.serve)
	return router
}

func (s *Service) run(listener net.Listener) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.common.Log.Error("the callers' listener ended", zap.Error(err))
	}
}

// BeginStop tells callers with each answer to use another connection, so that
// they come to other hosts.
func (s *Service) BeginStop() { s.stopping.Store(true) }

// Stop takes no new connection and waits for every request in progress. When
// ctx ends first, the rest is cut.
func (s *Service) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.common.Log.Warn("requests were cut by stop-bound", zap.Error(err))
		return s.server.Close()
	}
	return nil
}

// fault is a request that cannot be served as it stands.
type fault struct {
	status     int
	reason     text.Reason
	retryAfter time.Duration
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	current := s.release.Current()
	if current == nil {
		s.refuse(w, "", http.StatusServiceUnavailable, serving.Refused{Outcome: text.NotRun, Reason: text.NotReady, RetryAfter: time.Second})
		return
	}
	request, wrong := s.readAny(w, r, current, arrived)
	if wrong != nil {
		s.common.Count("front.faults." + string(wrong.reason))
		s.common.Log.Info("request refused", zap.String("caller-id", request.CallerID), zap.String("reason", string(wrong.reason)),
			zap.String("request", request.ID), zap.String("route", request.Route), zap.Int("status", wrong.status),
			zap.Int64("version", current.Version), zap.Duration("version-proven-ago", s.release.Age(current.Version)))
		s.refuse(w, request.ID, wrong.status, serving.Refused{Outcome: text.NotRun, Reason: wrong.reason, RetryAfter: wrong.retryAfter})
		return
	}
	c := &caller{writer: w, control: http.NewResponseController(w), request: request.ID, host: s.common.Self.Name}
	switch ending := s.serving.Serve(r.Context(), request, c).(type) {
	case serving.Refused:
		s.refuse(w, request.ID, statusOf(ending), ending)
	case serving.Broken:
		// Closing the connection inside the answer is the one sign that no HTTP
		// client takes for a regular end.
		panic(http.ErrAbortHandler)
	case serving.Delivered:
	}
}

// readAny makes a request by the routes of the configuration, where it has
// some, or else by the services' prefixes and the rules.
func (s *Service) readAny(w http.ResponseWriter, r *http.Request, current *release.InForce, arrived time.Time) (serving.Request, *fault) {
	if s.common.Settings.Platform != nil {
		return s.readRouted(w, r, current, arrived)
	}
	return s.read(w, r, &current.Configuration, arrived)
}

// read makes a request of what the caller sent, or says what is wrong with it.
func (s *Service) read(w http.ResponseWriter, r *http.Request, c *configuration.Configuration, arrived time.Time) (serving.Request, *fault) {
	request := serving.Request{ID: uuid.NewString(), Method: r.Method, Arrived: arrived, Claims: c.Claims}
	customer, known := customerOf(c, r)
	if !known {
		return request, &fault{status: http.StatusUnauthorized, reason: text.Unauthorized}
	}
	request.Customer = customer.Name
	service, path, found := c.Route(r.URL.Path)
	if !found {
		return request, &fault{status: http.StatusNotFound, reason: text.NoSuchService}
	}
	request.Service = *service
	request.Path = withQuery(path, r.URL.RawQuery)
	rule := c.RuleFor(service.Name, r.Method, path)
	request.Idempotent = rule.Idempotent
	if wrong := setTier(&request, c, customer, rule, r.Header.Get(tierHeader)); wrong != nil {
		return request, wrong
	}
	if wrong := setDeadline(&request, c, r.Header.Get(timeoutHeader)); wrong != nil {
		return request, wrong
	}
	if wrong := setKey(&request, r.Header.Get(keyHeader)); wrong != nil {
		return request, wrong
	}
	if wrong := readBody(&request, w, r); wrong != nil {
		return request, wrong
	}
	request.Header = headerOf(r)
	request.Streams = service.Kind == configuration.Model
	if service.Kind == configuration.Model {
		request.PromptTokens, request.AnswerTokens = estimate(request.Body)
	}
	return request, nil
}

func customerOf(c *configuration.Configuration, r *http.Request) (configuration.Customer, bool) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer {
		return configuration.Customer{}, false
	}
	digest := sha256.Sum256([]byte(token))
	name := hex.EncodeToString(digest[:])
	i := slices.IndexFunc(c.Customers, func(k configuration.Customer) bool { return k.TokenSHA256 == name })
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

// setTier takes the tier asked for if it is granted to the customer, else that
// of the rule, else the best one granted below it.
func setTier(request *serving.Request, c *configuration.Configuration, customer configuration.Customer, rule configuration.Rule, asked string) *fault {
	if asked != "" {
		rank, known := c.TierRank(asked)
		if !known {
			return &fault{status: http.StatusBadRequest, reason: text.UnknownTier}
		}
		if !slices.Contains(customer.Tiers, asked) {
			return &fault{status: http.StatusForbidden, reason: text.TierNotGranted}
		}
		request.Tier, request.Rank = asked, rank
		return nil
	}
	least, _ := c.TierRank(rule.Tier)
	for rank := least; rank < len(c.Tiers); rank++ {
		if slices.Contains(customer.Tiers, c.Tiers[rank].Name) {
			request.Tier, request.Rank = c.Tiers[rank].Name, rank
			return nil
		}
	}
	return &fault{status: http.StatusForbidden, reason: text.TierNotGranted}
}

func setDeadline(request *serving.Request, c *configuration.Configuration, asked string) *fault {
	allowed := c.Deadline(request.Rank)
	if asked != "" {
		timeout, err := time.ParseDuration(asked)
		if err != nil || timeout <= 0 {
			return &fault{status: http.StatusBadRequest, reason: text.BadTimeout}
		}
		allowed = min(allowed, timeout)
	}
	request.Deadline = request.Arrived.Add(allowed)
	return nil
}

func setKey(request *serving.Request, key string) *fault {
	if request.Idempotent {
		return nil
	}
	if key == "" {
		return &fault{status: http.StatusBadRequest, reason: text.KeyMissing}
	}
	// The published form of the header puts the key in quotes.
	parsed, err := uuid.Parse(strings.Trim(key, `"`))
	if err != nil {
		return &fault{status: http.StatusBadRequest, reason: text.KeyMalformed}
	}
	request.Key = parsed.String()
	if _, err := (claim.Key{ID: request.Key}).Created(); err != nil {
		return &fault{status: http.StatusBadRequest, reason: text.KeyMalformed}
	}
	return nil
}

func readBody(request *serving.Request, w http.ResponseWriter, r *http.Request) *fault {
	control := http.NewResponseController(w)
	// A caller that sends its body too slowly is cut off; the deadline is lifted
	// again, since the server reads on to notice callers that go away.
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout))
	limit := request.Service.BodyLimit
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &fault{status: http.StatusRequestEntityTooLarge, reason: text.BodyTooLarge}
	}
	if err != nil {
		return &fault{status: http.StatusBadRequest, reason: text.BadBody}
	}
	request.Body = body
	return nil
}

// dropped are headers that only this system may set towards an endpoint, and
// those of callers that are not for endpoints.
var dropped = []string{
	"Authorization", expectHeader, keyHeader, "X-Idempotency-Key", tierHeader, timeoutHeader,
	exchange.RequestHeader, exchange.AttemptHeader, exchange.KeyHeader, exchange.OffsetHeader,
}

func headerOf(r *http.Request) http.Header {
	header := exchange.EndToEnd(r.Header)
	for _, name := range dropped {
		header.Del(name)
	}
	return header
}

// estimate gives the tokens of a model request from its body.
func estimate(body []byte) (prompt, answer int) {
	// Bodies of another form are judged by their length alone.
	length := len(gjson.GetBytes(body, "prompt").Raw)
	if length == 0 {
		length = len(body)
	}
	answer = defaultAnswerTokens
	if told := gjson.GetBytes(body, "max_tokens").Int(); told > 0 {
		answer = int(min(told, maxAnswerTokens))
	}
	return max(1, length/bytesPerToken), answer
}

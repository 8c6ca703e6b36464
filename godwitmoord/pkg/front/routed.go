package front

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// unconfirmedKeyRetry is when a caller whose key could not be confirmed should try
	// again. By then the balancer sends the request to another host.
	unconfirmedKeyRetry = 200 * time.Millisecond
	// A caller is assumed to wait for the first part of a stream for the longest of
	// minPatience, patiencePerGoal times the goal for the first part, and
	// patiencePerGap times the goal for the gap between parts.
	minPatience     = 2 * time.Second
	patiencePerGoal = 4
	patiencePerGap  = 8
	// expectHeader asks for an interim response before the body is sent. This host
	// has already sent it, so the header is not passed on.
	expectHeader = "Expect"
)

// readByRoutes converts an HTTP request by the routes of the configuration.
func (s *Service) readByRoutes(body *callerBody, r *http.Request, current *release.InForce, arrived time.Time) (serving.Request, *rejection) {
	request := serving.Request{ID: uuid.NewString(), Method: r.Method, Arrived: arrived, Keyless: true, Version: current.Version}
	call, err := s.common.Dialect.ReadCallerRequest(r.Header)
	request.CallerID = call.ID
	if err != nil {
		return request, &rejection{status: http.StatusBadRequest, reason: text.BadHeader}
	}
	target := targetOf(r)
	path, _, _ := strings.Cut(target, "?")
	route, found := current.Index.Route(hostName(r.Host), path)
	if !found {
		return request, &rejection{status: http.StatusNotFound, reason: text.NoSuchService}
	}
	request.Route = route.Name
	if rejected := s.setCustomer(&request, route, call, current); rejected != nil {
		return request, rejected
	}
	service, known := current.Configuration.Service(route.ServiceFor(call.ID))
	if !known {
		return request, &rejection{status: http.StatusServiceUnavailable, reason: text.NoEndpoint, retryAfter: time.Second}
	}
	request.Service = *service
	setRoute(&request, route, call)
	if rejected := body.readInto(&request); rejected != nil {
		return request, rejected
	}
	request.Path = target
	request.HostHeader = r.Host
	request.Header = exchange.EndToEnd(r.Header)
	request.Header.Del(expectHeader)
	return request, nil
}

// targetOf returns the path and query exactly as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hostName returns the host of a Host header in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// setCustomer sets the customer that the caller's key belongs to, and the tokens
// that count towards its quota. If the configuration has no customers or the route
// is anonymous, no key is needed.
func (s *Service) setCustomer(request *serving.Request, route *configuration.Route, call exchange.CallerRequest, current *release.InForce) *rejection {
	if route.Anonymous || len(current.Configuration.Customers) == 0 {
		return nil
	}
	if !s.release.AcceptsKeys() {
		return &rejection{status: http.StatusServiceUnavailable, reason: text.KeysUnconfirmed, retryAfter: unconfirmedKeyRetry}
	}
	customer, known := current.Index.Customer(call.Key)
	if !known {
		return &rejection{status: http.StatusUnauthorized, reason: text.Unauthorized}
	}
	request.Customer = customer.Name
	if customer.Quota != nil {
		request.QuotaTokens = customer.Quota.PlainTokens
		if call.HasTokenCounts {
			request.QuotaTokens = call.PromptTokens + call.AnswerTokens
		}
	}
	return nil
}

// setRoute sets what the route and the caller's headers specify for the request.
func setRoute(request *serving.Request, route *configuration.Route, call exchange.CallerRequest) {
	request.Rank = route.Rank
	request.Tier = "rank-" + strconv.Itoa(route.Rank)
	request.Idempotent = route.Repeat != configuration.Never
	request.Resumable = route.Repeat == configuration.Resumed
	request.Streams = route.Streams
	request.MaxAttempts = route.MaxAttempts
	request.Goal, request.GapGoal = route.Goal.Std(), route.GapGoal.Std()
	request.LastEvent = call.LastEvent
	request.Subject, request.Parts = subjectOf(call), sharedParts(call.Parts)
	request.PromptTokens = call.PromptTokens
	allowed := route.Timeout.Std()
	if call.Timeout > 0 && call.Timeout < allowed {
		allowed = call.Timeout
	}
	request.Deadline = request.Arrived.Add(allowed)
	answerTokens := call.AnswerTokens
	if call.LikelyTokens > 0 {
		answerTokens = call.LikelyTokens
	}
	request.AnswerTokens = answerTokens / max(request.Service.EventTokens, 1)
	if route.Streams {
		request.Patience = max(minPatience, patiencePerGoal*request.Goal, patiencePerGap*request.GapGoal)
	}
}

// subjectOf returns a text that is the same for all tries of a call: the id of the
// prompt's last part, which other calls do not share, and the prompt's length in
// tokens.
func subjectOf(call exchange.CallerRequest) string {
	if len(call.Parts) == 0 {
		return ""
	}
	return call.Parts[len(call.Parts)-1].ID + "/" + strconv.Itoa(call.PromptTokens)
}

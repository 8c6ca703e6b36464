package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the native dialect that are sent to endpoints or received from them.
const (
	RequestHeader = "Request-Id"
	AttemptHeader = "Attempt-Id"
	KeyHeader     = "Request-Key"
	TierHeader    = "Request-Tier"
	OffsetHeader  = "Resume-Offset"
	LimitHeader   = "Rate-Limit"
	notRunHeader  = "Not-Run"
)

// Headers of the native dialect that callers send.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "Request-Timeout"
	// PartsHeader lists the parts of the prompt in order, as ID:TOKENS entries. The last
	// one is the request's own.
	PartsHeader = "Prompt-Parts"

	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// Native is the default dialect, for deployments without one of their own.
type Native struct{}

// ReadCallerRequest returns the bearer token, the requested timeout and the parts of
// the prompt.
func (Native) ReadCallerRequest(header http.Header) (CallerRequest, error) {
	var call CallerRequest
	call.Key, _ = strings.CutPrefix(header.Get(authorizationHeader), bearerPrefix)
	call.Parts = ParseParts(header.Get(PartsHeader))
	if timeoutText := header.Get(TimeoutHeader); timeoutText != "" {
		timeout, err := time.ParseDuration(timeoutText)
		if err != nil {
			return call, &MalformedError{Header: TimeoutHeader, Value: timeoutText}
		}
		call.Timeout = timeout
	}
	return call, nil
}

// WriteEndpointRequest sets the headers that identify the request to the endpoint, and
// removes the caller's credentials, idempotency key and timeout.
func (Native) WriteEndpointRequest(header http.Header, request EndpointRequest) {
	for _, name := range []string{authorizationHeader, IdempotencyKeyHeader, "X-Idempotency-Key", TimeoutHeader} {
		header.Del(name)
	}
	setOrDelete(header, RequestHeader, request.Request)
	setOrDelete(header, AttemptHeader, request.Attempt)
	setOrDelete(header, KeyHeader, request.Key)
	setOrDelete(header, TierHeader, request.Tier)
	offset := ""
	if request.Offset > 0 {
		offset = strconv.Itoa(request.Offset)
	}
	setOrDelete(header, OffsetHeader, offset)
}

// ReadEndpointResponse returns the attempt that is answered, whether the endpoint refused to
// run it, the offset at which the answer begins, the rate of requests that the endpoint
// takes, and the idle limit of the connection.
func (Native) ReadEndpointResponse(status int, header http.Header) EndpointResponse {
	refused := status == http.StatusServiceUnavailable && header.Get(notRunHeader) == "true"
	return EndpointResponse{
		Attempt: header.Get(AttemptHeader), NotRun: refused, Offset: readOffset(header), IdleLimit: KeepAliveTimeout(header),
		Limit: ParseRateLimit(header.Get(LimitHeader)),
	}
}

// readOffset returns the offset that an answer states. A value that is not a number
// states none, so that the answer is not taken for one that leaves parts out.
func readOffset(header http.Header) int {
	offset, err := strconv.Atoi(header.Get(OffsetHeader))
	if err != nil || offset < 0 {
		return 0
	}
	return offset
}

func setOrDelete(header http.Header, name, value string) {
	if value == "" {
		header.Del(name)
		return
	}
	header.Set(name, value)
}

// KeepAliveTimeout returns the idle timeout of a Keep-Alive header, or zero if it
// has none.
func KeepAliveTimeout(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, isTimeout := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !isTimeout {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

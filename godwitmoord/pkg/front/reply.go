package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	problemType    = "application/problem+json"
	requestHeader  = "Request-Id"
	servedByHeader = "Served-By"
)

// problem is the body of a refusal: an RFC 9457 problem with additional members.
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Outcome text.Outcome `json:"outcome"`
	Reason  text.Reason  `json:"reason"`
	Remedy  string       `json:"remedy"`
	Request string       `json:"request,omitempty"`
}

// refuse writes a refusal with its status, outcome, reason and remedy.
func (s *Service) refuse(w http.ResponseWriter, request string, status int, refused serving.Refused) {
	header := w.Header()
	header.Set("Content-Type", problemType)
	header.Set(servedByHeader, s.common.Self.Name)
	if request != "" {
		header.Set(requestHeader, request)
	}
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", s.formatRetryAfter(refused.RetryAfter))
	}
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(problem{
		Type:    "about:blank",
		Title:   s.common.Texts.Title(refused.Reason),
		Status:  status,
		Outcome: refused.Outcome,
		Reason:  refused.Reason,
		Remedy:  s.common.Texts.Remedy(refused.Reason),
		Request: request,
	})
}

// formatRetryAfter formats a Retry-After value. Callers of the platform accept
// fractions of a second; other callers may not, so the value is rounded up.
func (s *Service) formatRetryAfter(wait time.Duration) string {
	if s.common.Settings.Platform != nil {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// statusOf returns the HTTP status of a refusal.
func statusOf(refused serving.Refused) int {
	switch refused.Reason {
	case text.KeyConflict:
		return http.StatusUnprocessableEntity
	case text.KeyWithdrawn:
		return http.StatusConflict
	case text.KeyExpired, text.KeyMalformed:
		return http.StatusBadRequest
	case text.StillRunning:
		return http.StatusConflict
	}
	// Some statuses imply that the request did not run. They are used only for
	// requests with that outcome.
	switch {
	case refused.Outcome == text.NotRun && refused.Reason == text.OverQuota:
		return http.StatusTooManyRequests
	case refused.Outcome == text.NotRun:
		return http.StatusServiceUnavailable
	case refused.Reason == text.Deadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// answerWriter writes the answer to the caller's HTTP connection.
type answerWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	request string
	host    string
}

// WriteHead sends the status and headers of the answer.
func (a *answerWriter) WriteHead(status int, header http.Header) {
	answerHeader := a.writer.Header()
	for name, values := range header {
		answerHeader[name] = values
	}
	answerHeader.Set(requestHeader, a.request)
	answerHeader.Set(servedByHeader, a.host)
	a.writer.WriteHeader(status)
}

// WritePart sends a part of the answer and flushes it.
func (a *answerWriter) WritePart(data []byte) error {
	if _, err := a.writer.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

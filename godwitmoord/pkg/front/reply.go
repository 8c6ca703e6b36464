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
	problemType   = "application/problem+json"
	requestHeader = "Request-Id"
	servedHeader  = "Served-By"
)

// problem is a refusal in the form of RFC 9457, with the outcome beside it.
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Outcome text.Outcome `json:"outcome"`
	Reason  text.Reason  `json:"reason"`
	Remedy  string       `json:"remedy"`
	Request string       `json:"request,omitempty"`
}

func (s *Service) refuse(w http.ResponseWriter, request string, status int, refused serving.Refused) {
	header := w.Header()
	header.Set("Content-Type", problemType)
	header.Set(servedHeader, s.common.Self.Name)
	if request != "" {
		header.Set(requestHeader, request)
	}
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", s.seconds(refused.RetryAfter))
	}
	w.WriteHeader(status)
	// A caller that is gone needs no refusal.
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

// seconds writes a wait. The platform's callers read fractions; others may not.
func (s *Service) seconds(wait time.Duration) string {
	if s.common.Settings.Platform != nil {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

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
	// Statuses that promise that nothing ran are for such requests alone.
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

// caller is the answer's way back.
type caller struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	request string
	host    string
}

// Begin sends the head of the answer.
func (c *caller) Begin(status int, header http.Header) {
	own := c.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	own.Set(requestHeader, c.request)
	own.Set(servedHeader, c.host)
	c.writer.WriteHeader(status)
}

// Part sends a part of the answer at once.
func (c *caller) Part(data []byte) error {
	if _, err := c.writer.Write(data); err != nil {
		return err
	}
	return c.control.Flush()
}

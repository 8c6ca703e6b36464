package serving

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// recordResult records the result of the request and logs it.
func (s *Service) recordResult(r *requestRun, result Result) {
	request := r.request
	took := time.Since(request.Arrived)
	line := record.Request{
		Request:  request.ID,
		Host:     s.common.Self.Name,
		Customer: request.Customer,
		Service:  request.Service.Name,
		Tier:     request.Tier,
		Key:      request.Key,
		Attempts: r.attempts,
		Endpoint: r.endpoint,
		Took:     milliseconds(took),
		Deadline: milliseconds(request.Deadline.Sub(request.Arrived)),
	}
	switch e := result.(type) {
	case Delivered:
		line.Outcome = "answered"
		line.InTime = !time.Now().After(request.Deadline)
	case Refused:
		line.Outcome, line.Reason = string(e.Outcome), string(e.Reason)
	case Broken:
		line.Outcome, line.Reason = string(text.BrokenOff), string(e.Reason)
	}
	s.record.Add(record.Line{Request: &line})
	s.common.Log.Info("request finished", r.logFields(line, result)...)
}

// logFields returns the log fields of a finished request: the values that its
// scheduling depended on, and its outcome.
func (r *requestRun) logFields(line record.Request, result Result) []zap.Field {
	request := r.request
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("caller-id", request.CallerID), zap.Int64("version", request.Version),
		zap.String("route", request.Route), zap.String("service", request.Service.Name), zap.String("customer", request.Customer), zap.Int("quota-tokens", request.QuotaTokens), zap.String("tier", request.Tier),
		zap.Strings("attempts", r.attempts), zap.String("owner", r.owner), zap.String("endpoint", r.endpoint), zap.Int("runs", r.runs),
		zap.Float64("estimate-ms", milliseconds(r.estimate)), zap.Float64("queued-ms", milliseconds(r.queueTime)),
		zap.Float64("first-part-ms", r.firstPartMilliseconds()), zap.Float64("longest-pause-ms", milliseconds(r.relay.longestPause)), zap.Float64("took-ms", line.Took), zap.Float64("deadline-ms", line.Deadline),
		zap.String("outcome", line.Outcome), zap.String("reason", line.Reason),
		zap.Int("status", r.relay.status), zap.Int("events", r.relay.position.events), zap.String("last-event", r.relay.position.lastEvent), zap.String("end", r.relay.end),
	}
	if sent := r.lastSend; !sent.at.IsZero() {
		fields = append(fields, zap.Float64("sent-ago-ms", milliseconds(time.Since(sent.at))),
			zap.Float64("endpoints-age-ms", milliseconds(sent.endpointsAge)), zap.Float64("owner-endpoints-age-ms", milliseconds(sent.ownerEndpointsAge)))
	}
	if r.slowness > 0 {
		fields = append(fields, zap.Float64("slowness", r.slowness))
	}
	if r.heldParts != "" {
		fields = append(fields, zap.String("held-parts", r.heldParts))
	}
	if u := r.undecided; u != nil {
		fields = append(fields, zap.String("undecided-by", u.Owner), zap.Int("ask-sends", u.Sends), zap.Bool("caller-gone", errors.Is(u, context.Canceled)))
	}
	if refused, isRefusal := result.(Refused); isRefusal {
		fields = append(fields, zap.Float64("retry-after-ms", milliseconds(refused.RetryAfter)))
	}
	return fields
}

// logResumed logs how an attempt ended that had to continue an answer which the
// caller already received in part: up to the event afterEvent, of previousEvents.
func (r *requestRun) logResumed(answer *attempt.Answer, afterEvent string, previousEvents int, err error) {
	r.service.common.Count("streams.resumed")
	if errors.HasType(err, (*NotContinuedError)(nil)) {
		r.service.common.Count("streams.not-continued")
	}
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	r.service.common.Log.Info("resumed attempt ended",
		zap.String("request", r.request.ID), zap.String("caller-id", r.request.CallerID), zap.String("endpoint", r.endpoint),
		zap.Int("status", answer.Status), zap.String("content-type", answer.Header.Get("Content-Type")),
		zap.String("after-event", afterEvent), zap.Int("after-events", previousEvents), zap.String("first-event", r.relay.firstEvent),
		zap.Int("added-events", r.relay.position.events-previousEvents), zap.String("end", r.relay.end), zap.String("error", problem))
}

// firstPartMilliseconds returns the time from the request's arrival to the first
// part that the last attempt returned, in milliseconds; zero if it returned none.
func (r *requestRun) firstPartMilliseconds() float64 {
	if r.relay.firstByteAt.IsZero() {
		return 0
	}
	return milliseconds(r.relay.firstByteAt.Sub(r.request.Arrived))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package serving

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// recordResult records the result of the request, logs it and announces it to the
// other services of this host.
func (s *Service) recordResult(j *requestRun, result Ending) {
	r := j.request
	took := time.Since(r.Arrived)
	line := record.Request{
		Request:  r.ID,
		Host:     s.common.Self.Name,
		Customer: r.Customer,
		Service:  r.Service.Name,
		Tier:     r.Tier,
		Key:      r.Key,
		Attempts: j.attempts,
		Endpoint: j.endpoint,
		Took:     milliseconds(took),
		Deadline: milliseconds(r.Deadline.Sub(r.Arrived)),
	}
	switch e := result.(type) {
	case Delivered:
		line.Outcome = "answered"
		line.InTime = !time.Now().After(r.Deadline)
	case Refused:
		line.Outcome, line.Reason = string(e.Outcome), string(e.Reason)
	case Broken:
		line.Outcome, line.Reason = string(text.BrokenOff), string(e.Reason)
	}
	s.record.Add(record.Line{Request: &line})
	s.common.Log.Info("request finished", j.logFields(line, result)...)
	payload, err := json.Marshal(line)
	if err != nil {
		s.common.Log.Error("finished request cannot be encoded", zap.Error(err))
		return
	}
	s.common.Kernel.Announce(kernel.RequestFinished, payload)
}

// logFields returns the log logFields of a finished request: the values that its
// scheduling depended on, and its outcome.
func (j *requestRun) logFields(line record.Request, result Ending) []zap.Field {
	r := j.request
	fields := []zap.Field{
		zap.String("request", r.ID), zap.String("caller-id", r.CallerID), zap.Int64("version", r.Version),
		zap.String("route", r.Route), zap.String("service", r.Service.Name), zap.String("customer", r.Customer), zap.Int("quota-tokens", r.QuotaTokens), zap.String("tier", r.Tier),
		zap.Strings("attempts", j.attempts), zap.String("owner", j.owner), zap.String("endpoint", j.endpoint), zap.Int("runs", j.runs),
		zap.Float64("estimate-ms", milliseconds(j.estimate)), zap.Float64("queued-ms", milliseconds(j.queueTime)),
		zap.Float64("first-part-ms", j.firstPartMilliseconds()), zap.Float64("took-ms", line.Took), zap.Float64("deadline-ms", line.Deadline),
		zap.String("outcome", line.Outcome), zap.String("reason", line.Reason),
	}
	if refused, isRefusal := result.(Refused); isRefusal {
		fields = append(fields, zap.Float64("retry-after-ms", milliseconds(refused.RetryAfter)))
	}
	return fields
}

// firstPartMilliseconds returns the time from the request's arrival to the first part that the
// last attempt returned, in milliseconds; zero if it returned none.
func (j *requestRun) firstPartMilliseconds() float64 {
	if j.relay.firstByte.IsZero() {
		return 0
	}
	return milliseconds(j.relay.firstByte.Sub(j.request.Arrived))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package record

import "time"

// count updates the counters of finished requests, by tier and outcome, and the
// histograms of their durations, by tier.
func (s *Service) count(request Request) {
	s.common.Count("requests." + request.Tier + "." + request.Outcome)
	if request.InTime {
		s.common.Count("requests." + request.Tier + ".in-time")
	}
	s.common.Observe("requests."+request.Tier+".took-us", int64(request.Took*float64(time.Millisecond/time.Microsecond)))
}

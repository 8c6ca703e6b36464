package record

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the parameters of a histogram's sample: its size,
	// and how strongly it prefers recent values.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// count updates the counters of finished requests, by tier and outcome, and the
// histograms of their durations, by tier.
func (s *Service) count(request Request) {
	s.common.Count("requests." + request.Tier + "." + request.Outcome)
	if request.InTime {
		s.common.Count("requests." + request.Tier + ".in-time")
	}
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	histogram, isHistogram := s.common.Metrics.GetOrRegister("requests."+request.Tier+".took-us", sample).(metrics.Histogram)
	if isHistogram {
		histogram.Update(int64(request.Took * float64(time.Millisecond/time.Microsecond)))
	}
}

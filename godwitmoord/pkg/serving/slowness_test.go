package serving

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/common"
)

// Guards against unreadable loads that no operator sees, and against reports of them.
func TestUnreadableSlownessIsCountedAndNotReported(t *testing.T) {
	is := is.New(t)
	c := &common.Common{Metrics: metrics.NewRegistry()}
	r := requestRun{service: &Service{common: c}}
	r.reportSlowness(nil, exchange.ParseLoad("3,1,8,slow")) // a report would need the grant
	r.reportSlowness(nil, exchange.ParseLoad("3,1,8"))
	is.Equal(metrics.GetOrRegisterCounter("endpoints.loads.unreadable", c.Metrics).Count(), int64(1))
	is.Equal(r.slowness, 0.0)
}

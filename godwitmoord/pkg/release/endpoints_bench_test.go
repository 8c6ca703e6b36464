package release

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
)

func BenchmarkSetEndpoints94(b *testing.B) {
	c := &common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: "edge-1", Incarnation: 1}, Kernel: kernel.New(zap.NewNop())}
	s := New(c, nil)
	s.members = membership.New(c)
	conf := configuration.Configuration{Services: []configuration.Service{{Name: "atelier", Kind: configuration.Model}, {Name: "carnet"}}}
	for i := range 16 {
		conf.Customers = append(conf.Customers, configuration.Customer{Name: fmt.Sprintf("t-%d", i), Quota: &configuration.Quota{PerSecond: 1, Burst: 1}})
	}
	s.Install(1, conf)
	found := map[string][]configuration.Endpoint{}
	for i := range 94 {
		service := "atelier"
		if i >= 90 {
			service = "carnet"
		}
		found[service] = append(found[service], configuration.Endpoint{Name: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.2.64.%d:8148", i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		s.SetEndpoints(found, map[string]bool{})
	}
}

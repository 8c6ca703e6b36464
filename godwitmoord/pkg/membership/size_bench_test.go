package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
)

// tableOf70 returns the membership of a host among seventy ready ones.
func tableOf70() *Service {
	c := &common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: "edge-quimper-0", Incarnation: 1}}
	s := New(c)
	s.started = time.Now()
	s.SetPhase(Ready)
	for i := range 69 {
		s.merge(row{Name: fmt.Sprintf("edge-quimper-%d", i+1), Incarnation: 1764910000000000000, Address: fmt.Sprintf("10.2.64.%d:7946", i), DataCentre: "quimper", Phase: Ready, Revision: 3})
	}
	return s
}

func BenchmarkReadyNames70(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		s.ReadyNames()
	}
}

func BenchmarkOwnerOf70(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		_ = host.Ranked(s.ReadyNames(), "godwit-atelier", 1)[0]
	}
}

func BenchmarkDigest70(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		s.digest()
	}
}

func BenchmarkProbeMessageQuiet(b *testing.B) {
	s := tableOf70()
	for _, e := range s.table {
		e.transmitsLeft = 0
	}
	s.self.transmitsLeft = 0
	b.ReportAllocs()
	for b.Loop() {
		_, _ = cbor.Marshal(s.addUpdates(message{Kind: probeKind}))
	}
}

func BenchmarkProbeMessageSixteenRows(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		for _, e := range s.table {
			e.transmitsLeft = 20
		}
		data, _ := cbor.Marshal(s.addUpdates(message{Kind: probeKind}))
		b.ReportMetric(float64(len(data)), "B")
		_, _ = s.receive(data)
	}
}

func BenchmarkSyncMessage(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		data, _ := cbor.Marshal(s.addUpdates(message{Kind: syncKind, Rows: s.allRows()}))
		b.ReportMetric(float64(len(data)), "B")
		_, _ = s.receive(data)
	}
}

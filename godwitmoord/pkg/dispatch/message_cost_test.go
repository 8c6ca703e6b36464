package dispatch

import (
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// benchHeartbeat is the heartbeat of the hosts of a benchmark.
const benchHeartbeat = 20 * time.Millisecond

func askMessage() entryMessage {
	ask := permit.Ask{
		ID: "0b61d2f6-6a2c-4a29-8f0d-0cf8a5a3a1f5", Request: "9c41d07be2a35f68", Subject: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		Parts: []string{"5c1e07a2", "91bd3f06", "e4402b7d"}, Tier: 1, PromptTokens: 1460, AnswerTokens: 36, Suspendable: true,
		GapGoal: 300 * time.Millisecond, Customer: "hule930", QuotaTokens: 1500,
	}
	return entryMessage{Kind: askKind, Service: "assistant-pool", Ask: &ask, Budget: 12 * time.Second, Goal: 300 * time.Millisecond, Patience: 2400 * time.Millisecond}
}

func finishMessage() entryMessage {
	usage := permit.Usage{PromptTokens: 1460, AnswerTokens: 36, FirstByte: 80 * time.Millisecond, Total: time.Second}
	return entryMessage{Kind: finishKind, Service: "assistant-pool", ID: askMessage().Ask.ID, Usage: &usage}
}

func grantMessage() ownerMessage {
	rates := permit.LearnedRates{Endpoint: "i-7f3a91c2", PerRequest: 0.06, PerToken: 8e-6, PerPart: 0.03}
	return ownerMessage{ID: askMessage().Ask.ID, Endpoint: rates.Endpoint, Address: "10.2.64.38:8148", Estimate: time.Second, Rates: &rates}
}

// BenchmarkMessagesOfARequest encodes and decodes an ask, its grant and its finish.
func BenchmarkMessagesOfARequest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var ask, finish entryMessage
		var grant ownerMessage
		for _, m := range []struct{ from, to any }{{askMessage(), &ask}, {grantMessage(), &grant}, {finishMessage(), &finish}} {
			data, err := cbor.Marshal(m.from)
			if err != nil {
				b.Fatal(err)
			}
			if err := cbor.Unmarshal(data, m.to); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// newPeer starts the peer service of a host on a free port.
func newPeer(b *testing.B, name string) (s *peer.Service, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address = listener.Addr().String()
	_ = listener.Close()
	s = peer.New(&common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: name, Incarnation: 1},
		Settings: settings.Settings{
			Name: name, PeerListen: address,
			Platform: &settings.Platform{}, Heartbeat: document.Duration(benchHeartbeat),
		},
	})
	if err := s.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Stop(b.Context()) })
	return s, address
}

// messagePair is an entry and an owner on another host, which answers each ask with a
// grant.
type messagePair struct {
	toOwner *peer.Outbox
	granted chan bool
}

func newMessagePair(b *testing.B) *messagePair {
	entry, entryAddress := newPeer(b, "entry-1")
	owner, ownerAddress := newPeer(b, "entry-2")
	outbox := func(s *peer.Service, target, address string) *peer.Outbox {
		return &peer.Outbox{
			TargetService: target, Service: s, OnUnreachable: func(string) {},
			Address: func(string) (string, bool) { return address, true },
		}
	}
	p := &messagePair{toOwner: outbox(entry, "owner", ownerAddress), granted: make(chan bool, 1)}
	toEntry := outbox(owner, "dispatch", entryAddress)
	owner.Handle("owner", peer.Inbox(func(_ host.Identity, data []byte) error {
		var m entryMessage
		if err := cbor.Unmarshal(data, &m); err != nil {
			return err
		}
		if m.Kind == finishKind {
			return nil
		}
		toEntry.Send(b.Context(), "entry-1", grantMessage())
		return nil
	}))
	entry.Handle("dispatch", peer.Inbox(func(_ host.Identity, data []byte) error {
		var m ownerMessage
		err := cbor.Unmarshal(data, &m)
		p.granted <- true
		return err
	}))
	return p
}

// request sends an ask, awaits its grant and sends a finish, with a pause after each.
func (p *messagePair) request(b *testing.B, pause time.Duration) {
	p.toOwner.Send(b.Context(), "entry-2", askMessage())
	<-p.granted
	time.Sleep(pause)
	p.toOwner.Send(b.Context(), "entry-2", finishMessage())
	time.Sleep(pause)
}

// BenchmarkMessagesBetweenHosts sends asks and finishes to an owner on another host,
// which answers each ask with a grant, one request at a time: the cost of both hosts.
func BenchmarkMessagesBetweenHosts(b *testing.B) {
	p := newMessagePair(b)
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		p.request(b, 0)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkSeldomMessagesBetweenHosts is the same with long pauses, as between two hosts
// of a large fleet.
func BenchmarkSeldomMessagesBetweenHosts(b *testing.B) {
	p := newMessagePair(b)
	before := processorTime(b)
	for b.Loop() {
		p.request(b, 2*benchHeartbeat)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRecordOfARequest records an ask with its grant, and a finish.
func BenchmarkRecordOfARequest(b *testing.B) {
	o := ownerOnPlatform()
	r := record.New(o.common)
	ask, finish := askMessage().events("entry-1"), finishMessage().events("entry-1")
	actions := []permit.Action{permit.Granted{ID: askMessage().Ask.ID, Host: "entry-1", Endpoint: "i-7f3a91c2", Rates: grantMessage().Rates}}
	b.ReportAllocs()
	for b.Loop() {
		for i, events := range [][]permit.Event{ask, finish} {
			line := permit.Line{Service: "assistant-pool", Owner: "entry-1", Number: 1}
			r.Add(record.Line{Decision: &record.Decision{Line: line, Event: events[0], Actions: slices.Clone(actions[:1-i])}})
		}
		_ = r.Stop(b.Context())
	}
}

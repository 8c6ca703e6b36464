package release

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// newPlatformService returns a service without a configuration store, whose
// configurations come from Install, and its clock.
func newPlatformService(t *testing.T) (*Service, *time.Duration) {
	t.Helper()
	c := &common.Common{
		Log:      zap.NewNop(),
		Metrics:  metrics.NewRegistry(),
		Kernel:   kernel.New(zap.NewNop()),
		Self:     host.Identity{Name: "entry-1", Incarnation: 1},
		Settings: settings.Settings{Platform: &settings.Platform{KeyRevocation: document.Duration(5 * time.Second)}},
	}
	s := New(c, nil)
	s.members = membership.New(c)
	now := time.Hour
	s.now = func() time.Duration { return now }
	return s, &now
}

func TestVersionsOnlyRise(t *testing.T) {
	is := is.New(t)
	s, _ := newPlatformService(t)
	is.True(s.Current() == nil)
	s.Install(5, configuration.Configuration{Routes: []configuration.Route{{Name: "five", Host: "a", Prefix: "/"}}})
	s.Install(3, configuration.Configuration{})
	is.Equal(s.Current().Version, int64(5))
	route, found := s.Current().Index.Route("a", "/x")
	is.True(found)
	is.Equal(route.Name, "five")
	s.Install(9, configuration.Configuration{})
	_, found = s.Current().Index.Route("a", "/x")
	is.True(!found)
}

func TestFoundEndpointsAreAddedToEveryVersion(t *testing.T) {
	is := is.New(t)
	s, _ := newPlatformService(t)
	s.SetEndpoints(map[string][]configuration.Endpoint{"desk": {{Name: "i-1"}}}, map[string]bool{"i-0": true})
	is.True(s.HasLeft("i-0") && !s.HasLeft("i-1"))
	s.Install(1, configuration.Configuration{Services: []configuration.Service{{Name: "desk"}}})
	is.Equal(len(s.Current().Configuration.Services[0].Endpoints), 1)
	s.Install(2, configuration.Configuration{Services: []configuration.Service{{Name: "desk"}}})
	is.Equal(len(s.Current().Configuration.Services[0].Endpoints), 1)
}

func TestKeysAreAcceptedOnlyWhileTheProofIsFresh(t *testing.T) {
	is := is.New(t)
	s, now := newPlatformService(t)
	s.Install(1, configuration.Configuration{})
	is.True(!s.AcceptsKeys()) // never proven
	s.RecordProof(*now)
	is.True(s.AcceptsKeys())
	is.True(s.Ready())
	*now += 4 * time.Second // no proof for that long, or the process was suspended
	is.True(s.AcceptsKeys())
	is.True(!s.Ready()) // earlier than keys are refused, as the balancer needs time to react
	*now += time.Second
	is.True(!s.AcceptsKeys())
	s.RecordProof(*now - 10*time.Second) // older than the last proof
	is.True(!s.AcceptsKeys())
	s.RecordProof(*now - time.Second)
	is.True(s.AcceptsKeys())
	_ = s.Stop(context.Background())
}

func TestProofOfAnotherHostIsUsedForTheSameVersionOnly(t *testing.T) {
	is := is.New(t)
	prover, now := newPlatformService(t)
	receiver, _ := newPlatformService(t)
	prover.Install(7, configuration.Configuration{})
	receiver.Install(7, configuration.Configuration{})
	is.Equal(prover.Age(7), time.Duration(0)) // never proven
	prover.RecordProof(*now - time.Second)
	is.Equal(prover.Age(7), time.Second)
	is.Equal(prover.Age(6), time.Duration(0))
	receiver.RecordPeerProof(7, *now-prover.Age(7))
	is.True(receiver.AcceptsKeys())
	outdated, _ := newPlatformService(t)
	outdated.Install(6, configuration.Configuration{})
	outdated.RecordPeerProof(7, *now) // version 7 may have revoked a key that version 6 holds
	is.True(!outdated.AcceptsKeys())
}

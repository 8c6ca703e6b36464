package membership

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// onPlatform makes ReachableShare count absences within the quota window.
var onPlatform = &settings.Platform{QuotaWindow: document.Duration(8 * time.Second)}

func TestHostThatWasCutOffLowersTheShareForTheQuotaWindow(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		net := network{platform: onPlatform}
		hosts := net.readyFleet(ctx, is, 6, 10*time.Second)
		is.Equal(hosts[0].ReachableShare(), 1.0)
		net.set(func() { net.paused["entry-2"] = true })
		is.True(eventually(8*time.Second, func() bool { return hosts[0].ReachableShare() < 1 }))
		time.Sleep(3 * time.Second)
		net.set(func() { delete(net.paused, "entry-2") })
		is.True(eventually(30*time.Second, func() bool { return allSeeReady(hosts, 6) }))
		is.True(hosts[0].ReachableShare() < 1) // what it granted while cut off still counts
		is.True(eventually(20*time.Second, func() bool { return hosts[0].ReachableShare() == 1 }))
	})
}

func TestRestartedHostDoesNotLowerTheShare(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		net := network{platform: onPlatform}
		hosts := net.readyFleet(ctx, is, 5, 10*time.Second)
		time.Sleep(2 * newProcessAge) // so that the earlier process no longer counts as just started
		restarted := net.start(ctx, "entry-4", 2)
		restarted.addListed("entry-0")
		is.True(eventually(10*time.Second, func() bool { return hosts[1].IncarnationEnded(hosts[4].common.Self) }))
		is.True(eventually(5*time.Second, func() bool { return hosts[1].ReachableShare() == 1 }))
	})
}

func TestHostsThatStartTogetherAgreeBeforeAnyIsReady(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		net := network{starting: true}
		hosts := net.readyFleet(ctx, is, 4, 10*time.Second)
		for _, h := range hosts {
			is.Equal(h.ReadyNames(), hosts[0].ReadyNames())
		}
		is.Equal(len(hosts[0].ReadyNames()), 4)
	})
}

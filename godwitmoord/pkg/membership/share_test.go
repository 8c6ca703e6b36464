package membership

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// onPlatform makes Share count absences within the quota window.
var onPlatform = &settings.Platform{QuotaWindow: document.Duration(8 * time.Second)}

func TestHostThatWasOnItsOwnCountsAgainstTheShareForAWindow(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		w := wire{platform: onPlatform}
		hosts := w.fleet(ctx, 6)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 6) }))
		is.Equal(hosts[0].Share(), 1.0)
		w.set(func() { w.paused["entry-2"] = true })
		is.True(within(8*time.Second, func() bool { return hosts[0].Share() < 1 }))
		time.Sleep(3 * time.Second)
		w.set(func() { delete(w.paused, "entry-2") })
		is.True(within(30*time.Second, func() bool { return agree(hosts, 6) }))
		is.True(hosts[0].Share() < 1) // what it granted while cut off still counts
		is.True(within(20*time.Second, func() bool { return hosts[0].Share() == 1 }))
	})
}

func TestHostThatStartedAnewDoesNotCountAgainstTheShare(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		w := wire{platform: onPlatform}
		hosts := w.fleet(ctx, 5)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 5) }))
		time.Sleep(2 * newProcessAge) // so that the earlier process no longer counts as just started
		again := w.start(ctx, "entry-4", 2)
		again.know("entry-0")
		is.True(within(10*time.Second, func() bool { return hosts[1].Gone(hosts[4].common.Self) }))
		is.True(within(5*time.Second, func() bool { return hosts[1].Share() == 1 }))
	})
}

func TestHostsThatStartTogetherAgreeBeforeAnyIsReady(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		w := wire{starting: true}
		hosts := w.fleet(ctx, 4)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 4) }))
		for _, h := range hosts {
			is.Equal(h.ReadyNames(), hosts[0].ReadyNames())
		}
		is.Equal(len(hosts[0].ReadyNames()), 4)
	})
}

package app_test

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// hostMemory is the memory of a host on the users' sheet, in bytes.
const hostMemory = 284 << 20

// Guards against a route of a very low priority that takes down each host that decides for
// a service: its owner kept queues for each number up to that of the route's rank.
func TestRouteOfAVeryLowPriorityCostsTheOwnerNoMemory(t *testing.T) {
	s := startPlatformDeployment(t)
	s.is.Equal(s.send("/order/7", "good-key").Status, http.StatusOK)
	before := liveMemory()
	s.extraRoutes = []platformtest.Route{{Name: "overnight", Kind: "unsafe", Service: "desk", Timeout: 3 * time.Second, Priority: 1_000_000}}
	s.writeConfiguration()
	s.eventually("the route is in force", func() bool { return s.send("/overnight/7", "good-key").Status == http.StatusOK })
	for range 20 {
		s.is.Equal(s.send("/order/7", "good-key").Status, http.StatusOK)
		s.is.Equal(s.send("/overnight/7", "good-key").Status, http.StatusOK)
	}
	grown := liveMemory() - before
	t.Logf("%d MB more in use", grown>>20)
	s.is.True(grown < hostMemory)
}

// liveMemory returns the bytes in use on the heap after a garbage collection.
func liveMemory() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

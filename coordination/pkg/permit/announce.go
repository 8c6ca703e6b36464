package permit

import (
	"maps"
	"slices"
	"time"
)

// A request may wait for announceShare of the time to its goal, and at most for
// maxAnnounceDelay, before its host is told so. Most are granted or refused by then.
const (
	maxAnnounceDelay = 300 * time.Millisecond
	announceShare    = 0.5
)

// announce tells the hosts which of their requests wait.
func (c *Core) announce() {
	waiting := map[string][]string{}
	for _, t := range c.tiers {
		for _, q := range t.queues {
			c.announceQueue(q, waiting)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(waiting)) {
		c.actions = append(c.actions, Queued{Host: host, IDs: waiting[host]})
	}
}

// announceQueue adds the requests of a queue whose hosts are to be told now, by host.
func (c *Core) announceQueue(q queue, waiting map[string][]string) {
	for _, w := range q {
		if !w.announced && c.now.Since(w.since) >= w.announceDelay() {
			w.announced = true
			waiting[w.ask.Host] = append(waiting[w.ask.Host], w.ask.ID)
		}
	}
}

// announceDelay returns how long a request waits before its host is told so.
func (w *waiter) announceDelay() time.Duration {
	if w.ask.Goal == 0 || w.late {
		return maxAnnounceDelay
	}
	return min(maxAnnounceDelay, time.Duration(announceShare*float64(w.ask.Goal.Since(w.since))))
}

package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// slotTime is the length of the time slots in which bad responses are counted.
	slotTime = 500 * time.Millisecond
	// canaryExcused and shiftExcused are how many slots with the most bad responses do not
	// count: a short fault of a link or a host is not the version's. In the shift the old
	// version shows no such fault beside, so more of them are left out.
	canaryExcused = 1
	shiftExcused  = 3
	// allRoutes stands for all routes together. No route has this name.
	allRoutes = "\x00"
)

// peaks holds the time slots with the most bad responses of the target, by route. The zero
// value has none.
type peaks struct {
	slot    int64
	present map[string]int
	// highest holds the largest counts of past slots, the largest first.
	highest map[string][]int
}

// with returns the peaks with further results.
func (p peaks) with(now time.Time, results Results) peaks {
	bad := map[string]int{}
	for source, counts := range results {
		if source.Target && counts.Bad > 0 {
			bad[source.Route] += counts.Bad
			bad[allRoutes] += counts.Bad
		}
	}
	if len(bad) == 0 {
		return p
	}
	if slot := now.UnixNano() / int64(slotTime); slot != p.slot {
		p = peaks{slot: slot, highest: p.merged()}
	}
	p.present = maps.Clone(p.present)
	if p.present == nil {
		p.present = map[string]int{}
	}
	for route, count := range bad {
		p.present[route] += count
	}
	return p
}

// merged returns the highest counts with those of the present slot.
func (p peaks) merged() map[string][]int {
	highest := maps.Clone(p.highest)
	if highest == nil {
		highest = map[string][]int{}
	}
	for route, count := range p.present {
		counts := append(slices.Clone(highest[route]), count)
		slices.SortFunc(counts, func(a, b int) int { return b - a })
		highest[route] = counts[:min(len(counts), shiftExcused)]
	}
	return highest
}

// excused returns how many bad responses on a route do not count in a stage.
func (p peaks) excused(route string, stage Stage) int {
	slots := canaryExcused
	if stage == Shift {
		slots = shiftExcused
	}
	total := 0
	counts := p.merged()[route]
	for _, count := range counts[:min(len(counts), slots)] {
		total += count
	}
	return total
}

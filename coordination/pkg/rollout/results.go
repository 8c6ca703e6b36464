package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Source is where responses came from. The endpoint of other versions than the target is
// empty: they are counted together.
type Source struct {
	Target   bool
	Route    string
	Endpoint string
}

// Counts are numbers of responses, and of the bad ones among them: failures, and those
// that took several times longer than expected.
type Counts struct{ Responses, Bad int }

func (c Counts) plus(other Counts) Counts {
	return Counts{Responses: c.Responses + other.Responses, Bad: c.Bad + other.Bad}
}

// Results counts responses by their source. The zero value has none.
type Results map[Source]Counts

// Plus returns the sum of two results.
func (r Results) Plus(other Results) Results {
	if len(other) == 0 {
		return r
	}
	sum := maps.Clone(r)
	if sum == nil {
		sum = Results{}
	}
	for source, counts := range other {
		sum[source] = sum[source].plus(counts)
	}
	return sum
}

// Add counts one response.
func (r Results) Add(source Source, bad bool) {
	counts := Counts{Responses: 1}
	if bad {
		counts.Bad = 1
	}
	r[source] = r[source].plus(counts)
}

// sum returns the counts of all sources that match.
func (r Results) sum(matches func(Source) bool) Counts {
	var total Counts
	for source, counts := range r {
		if matches(source) {
			total = total.plus(counts)
		}
	}
	return total
}

// routes returns the routes of all sources, sorted.
func (r Results) routes() []string {
	var routes []string
	for source := range r {
		routes = append(routes, source.Route)
	}
	slices.Sort(routes)
	return slices.Compact(routes)
}

// targetEndpoints returns the endpoints of the target that responded, sorted.
func (r Results) targetEndpoints() []string {
	var endpoints []string
	for source := range r {
		if source.Target {
			endpoints = append(endpoints, source.Endpoint)
		}
	}
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}

// Line is one entry of results.
type Line struct {
	Source Source
	Counts Counts
}

// Lines returns the results as a sorted list.
func (r Results) Lines() []Line {
	lines := make([]Line, 0, len(r))
	for source, counts := range r {
		lines = append(lines, Line{Source: source, Counts: counts})
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Source.Route, b.Source.Route), cmp.Compare(a.Source.Endpoint, b.Source.Endpoint),
			cmp.Compare(a.Counts.Responses, b.Counts.Responses))
	})
	return lines
}

// Totals returns the counts of the target and of all other versions since the order.
func (s Steering) Totals() (target, others Counts) {
	target = s.total.sum(func(source Source) bool { return source.Target })
	others = s.total.sum(func(source Source) bool { return !source.Target })
	return target, others
}

// windowTime is the length of each half of a window.
const windowTime = 8 * time.Second

// window holds the results of the last windowTime to twice that.
type window struct {
	began             time.Time
	previous, present Results
}

// with returns the window with further results.
func (w window) with(now time.Time, results Results) window {
	if now.Sub(w.began) >= windowTime {
		w.previous, w.present, w.began = w.present, nil, now
	}
	w.present = w.present.Plus(results)
	return w
}

func (w window) results() Results { return w.previous.Plus(w.present) }

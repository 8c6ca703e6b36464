package measure

import (
	"context"
	"slices"
)

// Overhead measures what sending requests through a host costs: added latency,
// request rate, memory, key-value calls, decision time and traffic between hosts.
func Overhead(ctx context.Context, s Options) error {
	r := &report{out: s.Writer}
	steps := []struct {
		name string
		run  func(context.Context, Options, *report) error
	}{{"time", addedTime}, {"rate", requestRate}, {"bytes", openBytes}, {"calls", keyValueCalls}, {"decide", decide}, {"permits", permitBytes}}
	for _, step := range steps {
		if len(s.Only) > 0 && !slices.Contains(s.Only, step.name) {
			continue
		}
		if err := step.run(ctx, s, r); err != nil {
			return err
		}
	}
	return r.err()
}

package exchange

import (
	"math"
	"strconv"
	"strings"
)

const (
	// loadValues is the number of values that a load has at least.
	loadValues = 3
	// usualPercent is the slowness, in percent, of a machine that works as usual.
	usualPercent = 100
	// maxSlowness is the largest multiple that is accepted as a slowness.
	maxSlowness = 100
)

// Load is what an answer says of the load of its endpoint. The zero value says nothing.
type Load struct {
	// Running and Waiting are the numbers of requests that run and wait there. Slots is
	// the number that can run at the same time; zero if the answer has no load.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the endpoint's machine now, as a multiple of
	// the usual; zero if that is not known.
	Slowness float64
	// Unreadable is set if the fourth value is not a slowness.
	Unreadable bool
}

// ParseLoad parses RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,PERCENT, where PERCENT
// is the slowness. It ignores further values, and returns no load for fewer.
func ParseLoad(text string) Load {
	values := strings.Split(text, ",")
	if len(values) < loadValues {
		return Load{}
	}
	load := Load{Running: ParseCount(values[0]), Waiting: ParseCount(values[1]), Slots: ParseCount(values[2])}
	if len(values) > loadValues {
		load.Slowness, load.Unreadable = parseSlowness(strings.TrimSpace(values[loadValues]))
	}
	return load
}

// parseSlowness parses a slowness in percent. An empty text names none.
func parseSlowness(text string) (slowness float64, unreadable bool) {
	if text == "" {
		return 0, false
	}
	percent, err := strconv.ParseFloat(text, 64)
	slowness = percent / usualPercent
	if err != nil || math.IsNaN(slowness) || slowness <= 0 || slowness > maxSlowness {
		return 0, true
	}
	return slowness, false
}

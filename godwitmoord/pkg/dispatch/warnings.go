package dispatch

import (
	"maps"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

const (
	// crashMemory is how long a crash is remembered for the next owner, maxCrashes how
	// many crashes of a service are.
	crashMemory = time.Minute
	maxCrashes  = 64
	// maxHeldParts bounds the held parts that an entry stores for a service.
	maxHeldParts = 256
)

// warnings holds what the owners of one service learned about parts of prompts that
// crash endpoints: the entry refuses requests with held parts itself, and tells the
// next owner. The zero value holds nothing.
type warnings struct {
	crashes []rememberedCrash
	held    map[string]heldPart
}

type rememberedCrash struct {
	crash permit.Crash
	at    time.Time
}

type heldPart struct {
	until  time.Time
	length time.Duration
}

// add stores one message of an owner.
func (w *warnings) add(m warning) {
	now := time.Now()
	if m.Crash != nil {
		w.crashes = slices.DeleteFunc(w.crashes, func(c rememberedCrash) bool {
			return now.Sub(c.at) > crashMemory || c.crash.ID == m.Crash.ID
		})
		if len(w.crashes) >= maxCrashes {
			w.crashes = w.crashes[1:]
		}
		w.crashes = append(w.crashes, rememberedCrash{crash: *m.Crash, at: now.Add(-m.Crash.Age)})
	}
	if m.Held != nil {
		w.hold(*m.Held, now)
	}
	delete(w.held, m.Cleared)
}

func (w *warnings) hold(held permit.HeldPart, now time.Time) {
	if w.held == nil {
		w.held = map[string]heldPart{}
	}
	if len(w.held) >= maxHeldParts {
		maps.DeleteFunc(w.held, func(_ string, h heldPart) bool { return now.After(h.until) })
	}
	if _, known := w.held[held.Part]; !known && len(w.held) >= maxHeldParts {
		// The owner refuses requests with the part.
		return
	}
	w.held[held.Part] = heldPart{until: now.Add(held.Left), length: held.Hold}
}

// check returns the refusal of a request that must not be sent, or nil.
func (w *warnings) check(ask permit.Ask) *RefusedError {
	if w == nil || len(w.held) == 0 {
		return nil
	}
	for _, part := range ask.Suspect().Keys() {
		held, known := w.held[part]
		if left := time.Until(held.until); known && left > 0 {
			return &RefusedError{Reason: permit.Held, RetryAfter: left, Part: part}
		}
	}
	return nil
}

// all returns everything that is stored, for an owner that does not know it.
func (w *warnings) all() (crashes []permit.Crash, held []permit.HeldPart) {
	if w == nil {
		return nil, nil
	}
	for _, c := range w.crashes {
		c.crash.Age = time.Since(c.at)
		crashes = append(crashes, c.crash)
	}
	for part, h := range w.held {
		held = append(held, permit.HeldPart{Part: part, Left: max(time.Until(h.until), 0), Hold: h.length})
	}
	return crashes, held
}

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
	// maxHeld bounds the sets of held parts that an entry stores for a service.
	maxHeld = 256
)

// warnings holds what the owners of one service learned about parts of prompts that
// crash endpoints: the entry refuses requests with held parts itself, and tells the
// next owner. The zero value holds nothing.
type warnings struct {
	crashes []rememberedCrash
	// held holds the held parts by their keys.
	held map[string]heldParts
}

type rememberedCrash struct {
	crash permit.Crash
	at    time.Time
}

// heldParts are held parts with the time until which they are held.
type heldParts struct {
	permit.HeldParts
	until time.Time
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

func (w *warnings) hold(held permit.HeldParts, now time.Time) {
	if w.held == nil {
		w.held = map[string]heldParts{}
	}
	if len(w.held) >= maxHeld {
		maps.DeleteFunc(w.held, func(_ string, h heldParts) bool { return now.After(h.until) })
	}
	if _, known := w.held[held.Key()]; !known && len(w.held) >= maxHeld {
		// The owner refuses requests with the parts.
		return
	}
	w.held[held.Key()] = heldParts{HeldParts: held, until: now.Add(held.Left)}
}

// check returns the refusal of a request that must not be sent, or nil.
func (w *warnings) check(ask permit.Ask) *RefusedError {
	if w == nil {
		return nil
	}
	for key, held := range w.held {
		if left := time.Until(held.until); left > 0 && held.Match(ask.Suspect()) {
			return &RefusedError{Reason: permit.Held, RetryAfter: left, Held: key}
		}
	}
	return nil
}

// all returns everything that is stored, for an owner that does not know it.
func (w *warnings) all() (crashes []permit.Crash, held []permit.HeldParts) {
	if w == nil {
		return nil, nil
	}
	for _, c := range w.crashes {
		c.crash.Age = time.Since(c.at)
		crashes = append(crashes, c.crash)
	}
	for _, h := range w.held {
		h.Left = max(time.Until(h.until), 0)
		held = append(held, h.HeldParts)
	}
	return crashes, held
}

package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is how many crashes in a row must have a part in common before it is
	// held. If several parts have as many in common, maxCrashes decides, because
	// another crash may tell them apart.
	minCrashes = 3
	maxCrashes = 4
	// minRequests is how many different requests with a part must have been caught in
	// crashes. A single request that is repeated does not incriminate its parts, which
	// other requests share.
	minRequests = 2
	// crashMemory is how long a crash is remembered, maxRemembered how many crashes are.
	crashMemory   = time.Minute
	maxRemembered = 64
	// initialHold is how long a part is held at first. Each further crash multiplies
	// that by holdGrowth, up to maxHold.
	initialHold = time.Minute
	holdGrowth  = 4
	maxHold     = 24 * time.Hour
	// maxHeld bounds the held parts.
	maxHeld = 256
)

// quarantine tells from crashes and answers which parts of prompts crash endpoints, and
// holds back requests with these. A part is to blame if it is in several crashes in a
// row, with no answer to a request with it in between. What a request shares with its
// own tries only counts as a part too. The zero value holds nothing.
type quarantine struct {
	// crashes are those that no held part explains, the oldest first. Parts that were
	// answered since are removed from their suspects.
	crashes []rememberedCrash
	held    map[string]*hold
}

// hold is the time for which a part is held.
type hold struct {
	until  Instant
	length time.Duration
	// tried is set while a request with the part is tried after the hold was over.
	tried bool
	// isOwn is set for what only the tries of one request share.
	isOwn bool
}

// evidence is what the remembered crashes say of one part.
type evidence struct {
	part     string
	crashes  int
	requests map[string]bool
	isOwn    bool
}

func (v *evidence) incriminates() bool {
	return v.crashes >= minCrashes && (v.isOwn || len(v.requests) >= minRequests)
}

// heldPart returns the part for which a request must not be sent, and how long that
// part is still held; an empty part if the request may be sent.
func (q *quarantine) heldPart(a Ask, now Instant) (part string, left time.Duration) {
	if len(q.held) == 0 {
		return "", 0
	}
	for _, part := range a.Suspect().Keys() {
		if h := q.held[part]; h != nil && now < h.until {
			return part, h.until.Since(now)
		}
	}
	return "", 0
}

// suspects reports whether an answer to a request would clear anything.
func (q *quarantine) suspects(a Ask) bool {
	if len(q.held) == 0 && len(q.crashes) == 0 {
		return false
	}
	for _, part := range a.Suspect().Keys() {
		if q.held[part] != nil || slices.ContainsFunc(q.crashes, func(c rememberedCrash) bool { return c.incriminates(part) }) {
			return true
		}
	}
	return false
}

// tryAgain holds the parts of a request that is sent although they were held before,
// until that request is answered or the hold is over once more.
func (q *quarantine) tryAgain(a Ask, now Instant) {
	if len(q.held) == 0 {
		return
	}
	for _, part := range a.Suspect().Keys() {
		if h := q.held[part]; h != nil {
			h.until, h.tried = now.After(h.length), true
		}
	}
}

// addCrash adds a crash, and returns the parts that are held because of it.
func (q *quarantine) addCrash(now Instant, crash Crash) []HeldPart {
	if slices.ContainsFunc(q.crashes, func(c rememberedCrash) bool { return c.id == crash.ID }) {
		return nil
	}
	if extended := q.extend(now, crash.Suspects); len(extended) > 0 {
		return extended
	}
	q.forgetOld(now)
	q.crashes = append(q.crashes, rememberedCrash{id: crash.ID, at: now.After(-crash.Age), suspects: slices.Clone(crash.Suspects)})
	return q.judge(now)
}

// extend holds a part longer that has crashed an endpoint again. A held part explains
// the whole crash, so that no other part is incriminated.
func (q *quarantine) extend(now Instant, suspects []Suspect) []HeldPart {
	var extended []HeldPart
	explained := false
	for _, suspect := range suspects {
		for _, part := range suspect.Keys() {
			h := q.held[part]
			if h == nil || h.isOwn {
				continue
			}
			explained = true
			if h.tried {
				h.length = min(h.length*holdGrowth, maxHold)
				h.until, h.tried = now.After(h.length), false
			}
			extended = append(extended, HeldPart{Part: part, Left: h.until.Since(now), Hold: h.length})
		}
	}
	if !explained {
		return nil
	}
	return extended
}

func (q *quarantine) forgetOld(now Instant) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c rememberedCrash) bool { return now.Since(c.at) > crashMemory })
	if excess := len(q.crashes) - maxRemembered + 1; excess > 0 {
		q.crashes = q.crashes[excess:]
	}
}

// judge holds the parts that the remembered crashes incriminate.
func (q *quarantine) judge(now Instant) []HeldPart {
	var found []HeldPart
	var shared []*evidence
	for _, v := range q.weigh() {
		switch {
		case !v.incriminates():
		case v.isOwn:
			if q.held[v.part] == nil {
				found = append(found, q.hold(now, v.part, true))
			}
		default:
			shared = append(shared, v)
		}
	}
	if len(shared) == 0 {
		return found
	}
	most := slices.MaxFunc(shared, func(a, b *evidence) int { return cmp.Compare(a.crashes, b.crashes) }).crashes
	shared = slices.DeleteFunc(shared, func(v *evidence) bool { return v.crashes < most })
	if len(shared) > 1 && most < maxCrashes {
		return found
	}
	for _, v := range shared {
		found = append(found, q.hold(now, v.part, false))
		q.forgetExplained(v.part)
	}
	return found
}

// weigh returns the evidence on each part that is in the remembered crashes, in the
// order of the parts.
func (q *quarantine) weigh() []*evidence {
	found := map[string]*evidence{}
	for _, c := range q.crashes {
		counted := map[string]bool{}
		for _, suspect := range c.suspects {
			for _, part := range suspect.Keys() {
				v := found[part]
				if v == nil {
					v = &evidence{part: part, requests: map[string]bool{}, isOwn: part == suspect.own()}
					found[part] = v
				}
				v.requests[suspect.own()] = true
				if !counted[part] {
					v.crashes++
				}
				counted[part] = true
			}
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b *evidence) int { return cmp.Compare(a.part, b.part) })
}

// hold begins to hold a part.
func (q *quarantine) hold(now Instant, part string, isOwn bool) HeldPart {
	q.adopt(now, HeldPart{Part: part, Left: initialHold, Hold: initialHold})
	q.held[part].isOwn = isOwn
	return HeldPart{Part: part, Left: initialHold, Hold: initialHold}
}

// forgetExplained removes the crashes that a part explains.
func (q *quarantine) forgetExplained(part string) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c rememberedCrash) bool {
		return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return slices.Contains(s.Parts, part) })
	})
}

// adopt holds a part that another owner holds, unless it is held longer here. If too
// many parts are held, the one whose hold ends first is dropped.
func (q *quarantine) adopt(now Instant, p HeldPart) {
	if q.held == nil {
		q.held = map[string]*hold{}
	}
	until := now.After(p.Left)
	if h := q.held[p.Part]; h != nil {
		h.until, h.length = max(h.until, until), max(h.length, p.Hold)
		return
	}
	if len(q.held) >= maxHeld {
		first := slices.MinFunc(slices.Sorted(maps.Keys(q.held)), func(a, b string) int { return cmp.Compare(q.held[a].until, q.held[b].until) })
		delete(q.held, first)
	}
	q.held[p.Part] = &hold{until: until, length: p.Hold}
}

// clear clears the parts of a request that an endpoint has begun to answer, and
// returns those that were held.
func (q *quarantine) clear(a Ask) []string {
	if len(q.crashes) == 0 && len(q.held) == 0 {
		return nil
	}
	var cleared []string
	for _, part := range a.Suspect().Keys() {
		if q.held[part] != nil {
			delete(q.held, part)
			cleared = append(cleared, part)
		}
		for i := range q.crashes {
			q.crashes[i].clear(part)
		}
	}
	return cleared
}

// heldParts returns all held parts, in the order of their names.
func (q *quarantine) heldParts(now Instant) []HeldPart {
	var parts []HeldPart
	for _, part := range slices.Sorted(maps.Keys(q.held)) {
		h := q.held[part]
		parts = append(parts, HeldPart{Part: part, Left: max(h.until.Since(now), 0), Hold: h.length})
	}
	return parts
}

package permit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is how many crashes in a row must have a part in common before it is
	// held.
	minCrashes = 3
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
	// maxHeld bounds the sets of parts that are held.
	maxHeld = 256
)

// quarantine tells from crashes and answers which parts of prompts crash endpoints, and
// holds back requests with these. A part is to blame if it is in several crashes in a
// row, with no answer to a request with it in between. What a request shares with its
// own tries only counts as a part too. Parts that were in the same crashes are held
// together: requests with all of them are refused, until an answer to a request with
// some of them clears those. The zero value holds nothing.
type quarantine struct {
	// crashes are those of the last minute, the oldest first. Parts that were answered
	// since are removed from their suspects.
	crashes []rememberedCrash
	// held holds the held parts, in the order in which they were added.
	held []*heldSet
}

// heldSet is a set of parts that are held together.
type heldSet struct {
	parts  []string
	until  Instant
	length time.Duration
	// tried is set while a request with the parts is tried after the hold was over.
	tried bool
	// isOwn is set for what only the tries of one request share.
	isOwn bool
}

// evidence is what the remembered crashes say of parts that were in the same ones.
type evidence struct {
	parts    []string
	crashes  []string
	requests []string
	// isOwn is set for what only the tries of one request share.
	isOwn bool
}

// add adds a suspect with the parts in a crash.
func (v *evidence) add(crash string, s Suspect) {
	if !slices.Contains(v.crashes, crash) {
		v.crashes = append(v.crashes, crash)
	}
	if !slices.Contains(v.requests, s.own()) {
		v.requests = append(v.requests, s.own())
	}
}

// crashKey returns a text that is the same for parts that were in the same crashes.
func (v *evidence) crashKey() string { return strings.Join(v.crashes, " ") }

// incriminates reports whether enough crashes that nothing else explains speak against
// the parts.
func (v *evidence) incriminates(explained map[string]bool) bool {
	unexplained := 0
	for _, id := range v.crashes {
		if !explained[id] {
			unexplained++
		}
	}
	return unexplained >= minCrashes && (v.isOwn || len(v.requests) >= minRequests)
}

func (h *heldSet) message(now Instant) HeldParts {
	return HeldParts{Parts: h.parts, Left: max(h.until.Since(now), 0), Hold: h.length}
}

// find returns the held parts of a key, or nil.
func (q *quarantine) find(key string) *heldSet {
	at := slices.IndexFunc(q.held, func(h *heldSet) bool { return HeldParts{Parts: h.parts}.Key() == key })
	if at < 0 {
		return nil
	}
	return q.held[at]
}

// matching returns the held parts that a request has.
func (q *quarantine) matching(s Suspect) []*heldSet {
	var matching []*heldSet
	for _, h := range q.held {
		if s.hasAll(h.parts) {
			matching = append(matching, h)
		}
	}
	return matching
}

// check returns the parts for which a request must not be sent, and how long they are
// still held; an empty key if the request may be sent.
func (q *quarantine) check(a Ask, now Instant) (key string, left time.Duration) {
	for _, h := range q.matching(a.Suspect()) {
		if now < h.until {
			return HeldParts{Parts: h.parts}.Key(), h.until.Since(now)
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
		isHeld := slices.ContainsFunc(q.held, func(h *heldSet) bool { return slices.Contains(h.parts, part) })
		if isHeld || slices.ContainsFunc(q.crashes, func(c rememberedCrash) bool { return c.incriminates(part) }) {
			return true
		}
	}
	return false
}

// tryAgain holds the parts of a request that is sent although they were held before,
// until that request is answered or the hold is over once more.
func (q *quarantine) tryAgain(a Ask, now Instant) {
	for _, h := range q.matching(a.Suspect()) {
		h.until, h.tried = now.After(h.length), true
	}
}

// addCrash adds a crash, and returns the parts that are held, or held longer, because of
// it.
func (q *quarantine) addCrash(now Instant, crash Crash) []HeldParts {
	if slices.ContainsFunc(q.crashes, func(c rememberedCrash) bool { return c.id == crash.ID }) {
		return nil
	}
	if explained, extended := q.explain(now, crash.Suspects); explained {
		return extended
	}
	q.forgetOld(now)
	q.crashes = append(q.crashes, rememberedCrash{id: crash.ID, at: now.After(-crash.Age), suspects: slices.Clone(crash.Suspects)})
	return q.judge(now)
}

// explain reports whether held parts explain a crash, so that it speaks against no
// others. It returns those that are held longer, because the crash was the end of a try.
func (q *quarantine) explain(now Instant, suspects []Suspect) (explained bool, extended []HeldParts) {
	for _, suspect := range suspects {
		for _, h := range q.matching(suspect) {
			if h.isOwn {
				continue
			}
			explained = true
			if h.tried {
				h.length = min(h.length*holdGrowth, maxHold)
				h.until, h.tried = now.After(h.length), false
				extended = append(extended, h.message(now))
			}
		}
	}
	return explained, extended
}

func (q *quarantine) forgetOld(now Instant) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c rememberedCrash) bool { return now.Since(c.at) > crashMemory })
	if excess := len(q.crashes) - maxRemembered + 1; excess > 0 {
		q.crashes = q.crashes[excess:]
	}
}

// judge holds the parts that the remembered crashes incriminate. It begins with those
// that are in most crashes; these crashes speak against no others.
func (q *quarantine) judge(now Instant) []HeldParts {
	var found []HeldParts
	explained := map[string]bool{}
	for _, v := range q.weigh() {
		if !v.incriminates(explained) {
			continue
		}
		if !v.isOwn {
			for _, id := range v.crashes {
				explained[id] = true
			}
		}
		found = append(found, q.hold(now, v.parts, v.isOwn)...)
	}
	return found
}

// weigh returns the evidence on the parts that are in the remembered crashes, those in
// most crashes first.
func (q *quarantine) weigh() []*evidence {
	byPart := map[string]*evidence{}
	for _, c := range q.crashes {
		for _, suspect := range c.suspects {
			for _, part := range suspect.Keys() {
				if byPart[part] == nil {
					byPart[part] = &evidence{parts: []string{part}, isOwn: part == suspect.own()}
				}
				byPart[part].add(c.id, suspect)
			}
		}
	}
	var weighed []*evidence
	byCrashes := map[string]*evidence{}
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		v := byPart[part]
		same := byCrashes[v.crashKey()]
		if same != nil && !v.isOwn {
			same.parts = append(same.parts, part)
			continue
		}
		if !v.isOwn {
			byCrashes[v.crashKey()] = v
		}
		weighed = append(weighed, v)
	}
	slices.SortStableFunc(weighed, func(a, b *evidence) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	return weighed
}

// hold begins to hold parts, unless they are held already.
func (q *quarantine) hold(now Instant, parts []string, isOwn bool) []HeldParts {
	held := HeldParts{Parts: parts, Left: initialHold, Hold: initialHold}
	if q.find(held.Key()) != nil {
		return nil
	}
	q.adopt(now, held)
	q.find(held.Key()).isOwn = isOwn
	return []HeldParts{held}
}

// adopt holds parts that another owner holds, unless they are held longer here. If too
// many are held, those whose hold ends first are dropped.
func (q *quarantine) adopt(now Instant, held HeldParts) {
	until := now.After(held.Left)
	if h := q.find(held.Key()); h != nil {
		h.until, h.length = max(h.until, until), max(h.length, held.Hold)
		return
	}
	if len(held.Parts) == 0 {
		return
	}
	if len(q.held) >= maxHeld {
		first := slices.MinFunc(q.held, func(a, b *heldSet) int { return cmp.Compare(a.until, b.until) })
		q.drop(first)
	}
	q.held = append(q.held, &heldSet{parts: held.Parts, until: until, length: held.Hold})
}

func (q *quarantine) drop(h *heldSet) {
	q.held = slices.DeleteFunc(q.held, func(other *heldSet) bool { return other == h })
}

// clear clears the parts of a request that an endpoint has begun to answer. It returns
// the held parts that were cleared, and what is left of them and held from now on.
func (q *quarantine) clear(a Ask, now Instant) (cleared, left []HeldParts) {
	if len(q.crashes) == 0 && len(q.held) == 0 {
		return nil, nil
	}
	keys := a.Suspect().Keys()
	for _, part := range keys {
		for i := range q.crashes {
			q.crashes[i].clear(part)
		}
	}
	for _, h := range slices.Clone(q.held) {
		rest := slices.DeleteFunc(slices.Clone(h.parts), func(part string) bool { return slices.Contains(keys, part) })
		if len(rest) == len(h.parts) {
			continue
		}
		cleared = append(cleared, h.message(now))
		q.drop(h)
		if len(rest) > 0 {
			narrower := HeldParts{Parts: rest, Left: max(h.until.Since(now), 0), Hold: h.length}
			q.adopt(now, narrower)
			left = append(left, narrower)
		}
	}
	return cleared, left
}

// all returns all held parts.
func (q *quarantine) all(now Instant) []HeldParts {
	var parts []HeldParts
	for _, h := range q.held {
		parts = append(parts, h.message(now))
	}
	return parts
}

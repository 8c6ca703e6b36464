package permit

import "time"

const (
	// interleavingRate is the weight of the newest sample.
	interleavingRate = 0.05
	// clearlyInterleaved is the ratio of the tokens of the queued prompts to those that a
	// pause of an answer explains from which the endpoint must have gone on with the answer
	// while it processed the prompts.
	clearlyInterleaved = 2
	// interleavingMargin is how much longer than usual a pause may be.
	interleavingMargin = 1.3
)

// interleaving is how much of the queued prompts an endpoint processes between two parts
// of a running answer, in tokens. Engines process long prompts in chunks and go on with
// answers in between, so the pause of an answer does not grow with the prompt beyond some
// length. Without that bound a long prompt seems to break the pauses of all answers that
// run, and waits until it can hardly meet its goal. The number is a property of the
// engine, which all endpoints of a service share. The zero value takes prompts as
// processed without interruption.
type interleaving struct{ tokens float64 }

// learn updates the number from the longest pause of an answer, as the tokens of prompts
// that it explains, and from the most tokens of prompts that were queued meanwhile.
func (i *interleaving) learn(explained, queued float64) {
	switch {
	case explained <= 0 || queued < clearlyInterleaved*explained:
	case i.tokens == 0:
		i.tokens = explained
	default:
		i.tokens += interleavingRate * (explained - i.tokens)
	}
}

// bound returns how many tokens of a backlog of prompts may be processed before the next
// part of an answer.
func (i *interleaving) bound(backlog float64) float64 {
	if i.tokens == 0 {
		return backlog
	}
	return min(backlog, interleavingMargin*i.tokens)
}

// observePrompt records at the requests that run how many tokens of prompts are queued.
func (e *endpoint) observePrompt(now Instant) {
	if e.prefillCost == 0 {
		return
	}
	queued := e.promptBacklog(now).Seconds() / e.prefillCost
	for _, h := range e.permits {
		h.queuedPrompts = max(h.queuedPrompts, queued)
	}
}

// learnInterleaving updates the interleaving from the longest pause of an answer.
func (e *endpoint) learnInterleaving(h *heldPermit, longestPause time.Duration) {
	if e.prefillCost > 0 && longestPause > 0 {
		e.shared.interleaving.learn((longestPause.Seconds()-e.decodeCost)/e.prefillCost, h.queuedPrompts)
	}
}

// pauseOf returns how long a backlog of prompts pauses the answers that run.
func (e *endpoint) pauseOf(backlog time.Duration) time.Duration {
	if e.prefillCost == 0 {
		return backlog
	}
	tokens := e.shared.interleaving.bound(backlog.Seconds() / e.prefillCost)
	return time.Duration(tokens * e.prefillCost * float64(time.Second))
}

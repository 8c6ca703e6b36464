package engine

import "godwitmoor.example/standin/pkg/answer"

// prefixCache holds the most recently used prompts, up to limit tokens. Only a
// repetition of the whole prompt is a hit.
type prefixCache struct {
	limit  int
	used   int
	recent []cachedPrompt
}

type cachedPrompt struct {
	digest uint64
	tokens int
}

// lookupAndAdd returns the number of tokens of the prompt that are cached, and
// makes the prompt the most recently used one.
func (p *prefixCache) lookupAndAdd(prompt string, tokens int) int {
	digest := answer.Digest(prompt)
	cached := 0
	for i, c := range p.recent {
		if c.digest == digest {
			cached = c.tokens
			p.used -= c.tokens
			p.recent = append(p.recent[:i], p.recent[i+1:]...)
			break
		}
	}
	p.recent = append(p.recent, cachedPrompt{digest: digest, tokens: tokens})
	p.used += tokens
	for p.used > p.limit && len(p.recent) > 0 {
		p.used -= p.recent[0].tokens
		p.recent = p.recent[1:]
	}
	return min(cached, tokens)
}

// Package answer gives the text that the stand-in engine generates, so that a
// caller can tell whether it got the whole answer to its own prompt.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const bytesPerToken = 4

// PromptTokens gives the number of tokens of a prompt.
func PromptTokens(prompt string) int { return max(1, len(prompt)/bytesPerToken) }

// Token gives the token at index of the answer to the prompt with this digest.
func Token(digest uint64, index int) string {
	return fmt.Sprintf("%04x ", uint16(digest>>(index%48))^uint16(index))
}

// Digest gives what the answer to a prompt depends on.
func Digest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Text gives the whole answer of n tokens.
func Text(prompt string, n int) string {
	digest := Digest(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(digest, i))
	}
	return b.String()
}

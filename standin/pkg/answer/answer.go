// Package answer computes the text that the stand-in engine generates for a
// prompt. The text depends only on the prompt, so a caller can check that it
// received the whole answer to its own prompt.
package answer

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const bytesPerToken = 4

// PromptTokens returns the number of tokens in a prompt.
func PromptTokens(prompt string) int { return max(1, len(prompt)/bytesPerToken) }

// Token returns the token at index in the answer to the prompt with this digest.
func Token(digest uint64, index int) string {
	return fmt.Sprintf("%04x ", uint16(digest>>(index%48))^uint16(index))
}

// Digest returns the hash of a prompt, from which its answer is generated.
func Digest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Text returns the whole answer to a prompt, n tokens long.
func Text(prompt string, n int) string {
	digest := Digest(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(digest, i))
	}
	return b.String()
}

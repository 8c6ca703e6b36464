package memory

import (
	"testing"

	"github.com/matryer/is"
)

// The heap of a host grew beyond the memory of its machine while garbage was left
// uncollected.
func TestRuntimeLimitIsBelowTheMemoryOfTheProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(limitFor(100<<20), int64(75<<20))
	is.True(limitFor(284<<20) < 284<<20)
}

package discovery

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestLargeValuesAreExchangedCompressed(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, deflatedValueBytes - 1, deflatedValueBytes, 1 << 20} {
		value := bytes.Repeat([]byte("r"), size)
		c := sharedChange{}.withValue(value)
		is.True(len(c.Value)+len(c.Deflated) < deflatedValueBytes)
		got, err := c.value()
		is.NoErr(err)
		is.Equal(len(got), size)
	}
}

func TestCompressedValueThatIsTooLargeOrBrokenIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := inflate(deflate(make([]byte, maxInflatedBytes+1)))
	is.True(err != nil)
	_, err = inflate([]byte("no such value"))
	is.True(err != nil)
}

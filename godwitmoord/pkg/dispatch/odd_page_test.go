package dispatch

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

func TestOddPageOfGrantsEndsTheProcess(t *testing.T) {
	is := is.New(t)
	for _, data := range []string{
		"", "\xff", "written by somebody else", strings.Repeat("\x81", 100_000), strings.Repeat("\xa1\x61a", 100_000),
		"\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
	} {
		var page grantPage
		is.True(cbor.Unmarshal([]byte(data), &page) != nil)
	}
}

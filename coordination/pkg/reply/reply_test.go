package reply_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/reply"
)

func TestReplyOverTheLimitIsCutInsteadOfRefused(t *testing.T) {
	is := is.New(t)
	const limit = 16
	data, err := reply.Read(strings.NewReader(strings.Repeat("a", limit)), limit)
	is.NoErr(err)
	is.Equal(len(data), limit)
	_, err = reply.Read(strings.NewReader(strings.Repeat("a", limit+1)), limit)
	var tooLarge *reply.TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(tooLarge.Limit, limit)
}

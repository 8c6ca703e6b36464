package keyvalue_test

import (
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// Guards against a change after a restore that counts as older than one before it.
func TestRevisionsRiseWithEraAndCount(t *testing.T) {
	is := is.New(t)
	last := int64(-1)
	for _, era := range []int64{0, 1, 2, 3, 100, keyvalue.MaxEra} {
		for _, count := range []int64{0, 1, 7, 1 << 40, keyvalue.MaxCount} {
			revision := keyvalue.InEra(era, count)
			is.True(revision > last)
			is.Equal(keyvalue.EraOf(revision), era)
			is.Equal(keyvalue.WithoutEra(revision), count)
			last = revision
		}
	}
}

// Guards against numbers that change in deployments whose store was never restored.
func TestRevisionsBeforeTheFirstRestoreStayAsTheyAre(t *testing.T) {
	is := is.New(t)
	for _, count := range []int64{0, 1, 1 << 50, 1_800_000_000_000_000_000} {
		is.Equal(keyvalue.InEra(0, count), count)
		is.Equal(keyvalue.EraOf(count), int64(0))
		is.Equal(keyvalue.WithoutEra(count), count)
	}
}

package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
)

func TestEndpointStaysInUseBrieflyAfterItsEntryIsMissing(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(1000, 0)
	is.True(table.Put("desk", configuration.Endpoint{Name: "i-1"}, 5))
	is.True(table.MarkMissing("i-1", 6, now.Add(time.Second)))
	is.True(!table.Expire(now))
	is.Equal(len(table.ByService()["desk"]), 1)
	is.True(table.Put("desk", configuration.Endpoint{Name: "i-1"}, 7)) // the entry is back
	is.True(!table.Expire(now.Add(time.Minute)))
	is.Equal(len(table.ByService()["desk"]), 1)
	is.True(table.MarkMissing("i-1", 8, now.Add(time.Second)))
	is.True(table.Expire(now.Add(2 * time.Second)))
	is.Equal(len(table.ByService()["desk"]), 0)
	is.True(table.Left()["i-1"]) // so that permits for it from an owner that is behind are not used
	table.Expire(now.Add(2 * time.Minute))
	is.True(!table.Left()["i-1"])
}

func TestEndpointThatComesBackHasNotLeft(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(1000, 0)
	table.Put("desk", configuration.Endpoint{Name: "i-1"}, 5)
	table.MarkMissing("i-1", 6, now)
	is.True(table.Expire(now))
	is.True(table.Put("desk", configuration.Endpoint{Name: "i-1"}, 7))
	is.True(!table.Left()["i-1"])
	is.Equal(len(table.ByService()["desk"]), 1)
}

func TestLeavingEndpointWithMissingEntryLeavesAtOnce(t *testing.T) {
	is := is.New(t)
	var table Table
	now := time.Unix(1000, 0)
	table.Put("desk", configuration.Endpoint{Name: "i-1", Leaving: true}, 5)
	is.True(table.MarkMissing("i-1", 6, now.Add(time.Second)))
	is.True(table.Expire(now))
}

func TestOlderEntryChangesNothing(t *testing.T) {
	is := is.New(t)
	var table Table
	table.Put("desk", configuration.Endpoint{Name: "i-1", Leaving: true}, 9)
	is.True(!table.Put("desk", configuration.Endpoint{Name: "i-1"}, 8))
	is.True(!table.MarkMissing("i-1", 7, time.Time{}))
	is.True(table.ByService()["desk"][0].Leaving)
	is.True(!table.Put("desk", configuration.Endpoint{Name: "i-1", Leaving: true}, 10)) // only the revision differs
}

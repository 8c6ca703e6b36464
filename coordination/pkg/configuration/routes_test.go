package configuration_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
)

func TestRouteWithTheLongestPrefixIsFound(t *testing.T) {
	is := is.New(t)
	c := configuration.Configuration{Routes: []configuration.Route{
		{Name: "all", Host: "shop.example", Prefix: "/orders/"},
		{Name: "new", Host: "shop.example", Prefix: "/orders/new/"},
		{Name: "other", Host: "other.example", Prefix: "/orders/new/"},
	}}
	x := configuration.NewIndex(&c)
	for path, name := range map[string]string{
		"/orders/":         "all",
		"/orders/7":        "all",
		"/orders/new/":     "new",
		"/orders/new/7/8":  "new",
		"/orders/newer/7":  "all",
		"/orders/new%2f/7": "all",
	} {
		route, found := x.Route("shop.example", path)
		is.True(found)
		is.Equal(route.Name, name)
	}
	for _, path := range []string{"/orders", "/", "", "/order/s"} {
		_, found := x.Route("shop.example", path)
		is.True(!found)
	}
	_, found := x.Route("nowhere.example", "/orders/")
	is.True(!found)
}

func TestRequestsAreSplitByWeightAndTheSameIDGetsTheSameService(t *testing.T) {
	is := is.New(t)
	r := configuration.Route{Targets: []configuration.Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	counts := map[string]int{}
	for i := range 2000 {
		id := fmt.Sprint("request-", i)
		counts[r.ServiceFor(id)]++
		is.Equal(r.ServiceFor(id), r.ServiceFor(id))
	}
	is.True(counts["old"] > 1700 && counts["old"] < 1900)
	is.Equal((&configuration.Route{}).ServiceFor("x"), "")
}

func TestDiscoveredEndpointsReplaceDeclaredOnes(t *testing.T) {
	is := is.New(t)
	c := configuration.Configuration{Services: []configuration.Service{{Name: "desk"}}, Routes: []configuration.Route{{Rank: 2}}}
	with := c.WithEndpoints(map[string][]configuration.Endpoint{"desk": {{Name: "i-1"}}})
	is.Equal(len(with.Services[0].Endpoints), 1)
	is.Equal(len(c.Services[0].Endpoints), 0) // the original is unchanged
	is.Equal(with.Routes, c.Routes)
}

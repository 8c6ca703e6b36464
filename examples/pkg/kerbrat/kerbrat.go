// Package kerbrat declares the example deployment of Moulerie Kerbrat Numérique.
package kerbrat

import (
	"fmt"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/operator"
)

// Names of services and tiers, for other programs of this repository.
const (
	Atelier = "godwit-atelier"
	Carnet  = "carnet-commandes"

	Bench  = "bench"
	Order  = "work-order"
	Review = "review"
)

// DataCentres lists the deployment's three data centres, all in Brittany.
var DataCentres = []string{"quimper", "lorient", "rennes"}

// Workshops lists the customers.
var Workshops = []string{"atelier-bois", "atelier-noyaux", "bureau-etudes", "fonderie-lorient", "apprentis"}

// Token returns a workshop's bearer token in this example.
func Token(workshop string) string { return "token-of-" + workshop }

// Deployment returns the tiers, customers, services and rules, with the addresses
// of the model workers and of the order books as endpoints.
func Deployment(engines, orderBooks []string) operator.Deployment {
	d := operator.New("Moulerie Kerbrat pattern shop").
		WithGoodputWeight(0.2).
		WithTier(Bench, 5*time.Second, "an apprentice waits with the timber glued").
		WithTier(Order, 15*time.Second, "work orders and stock").
		WithTier(Review, 10*time.Minute, "long reviews of core-box drawings, which must finish")
	for _, workshop := range Workshops {
		d = d.WithCustomer(workshop, Token(workshop), Bench, Order, Review)
	}
	return d.
		WithService(atelier(engines), "the model workers").
		WithService(carnet(orderBooks), "work orders, releases to the foundry, stock").
		WithRule(configuration.Rule{
			Service: Atelier, Methods: []string{"POST"}, Path: "/v1/completions", Idempotent: true, Tier: Review,
		}, "reviews and questions can run again").
		WithRule(configuration.Rule{
			Service: Carnet, Methods: []string{"GET"}, Path: "/stock/**", Idempotent: true, Tier: Order,
		}, "stock can be read again").
		WithRule(configuration.Rule{
			Service: Carnet, Path: "/**", Idempotent: false, Tier: Order,
		}, "a release to the foundry runs once at most")
}

func atelier(engines []string) configuration.Service {
	s := configuration.Service{
		Name: Atelier, Prefix: "/atelier", Kind: configuration.Model, EchoesAttempt: true, Resumes: true,
	}
	s.Endpoints = endpoints("atelier", engines, 8)
	return s
}

func carnet(addresses []string) configuration.Service {
	s := configuration.Service{
		Name: Carnet, Prefix: "/carnet", Kind: configuration.Application, EchoesAttempt: true,
	}
	s.Endpoints = endpoints("carnet", addresses, 16)
	return s
}

func endpoints(name string, addresses []string, limit int) []configuration.Endpoint {
	declared := make([]configuration.Endpoint, len(addresses))
	for i, address := range addresses {
		declared[i] = configuration.Endpoint{
			Name:          fmt.Sprintf("%s-%d", name, i+1),
			Address:       address,
			DataCentre:    DataCentres[i%len(DataCentres)],
			InFlightLimit: limit,
		}
	}
	return declared
}

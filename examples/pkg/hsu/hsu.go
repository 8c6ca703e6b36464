// Package hsu declares the example deployment of the Hsu Rounds Order Desk and
// Assistant.
package hsu

import (
	"fmt"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/operator"
)

// Names of services and tiers, for other programs of this repository.
const (
	Assistant = "assistant-pool"
	OrderDesk = "order-desk"

	Allergen = "allergen"
	Question = "question"
	Plan     = "plan"
)

// Engine is the address of a model worker and a first estimate of its speeds, in
// tokens per second.
type Engine struct {
	Address      string
	PrefillSpeed float64
	DecodeSpeed  float64
}

// DataCentres lists the deployment's three data centres, all in Taipei.
var DataCentres = []string{"taipei-a", "taipei-b", "taipei-c"}

// Offices lists the customers. Token derives the bearer token of each from its name.
var Offices = []string{"xinyi-tower", "neihu-campus", "songshan-floor", "daan-studio", "nangang-labs"}

// Token returns an office's bearer token in this example.
func Token(office string) string { return "token-of-" + office }

// Deployment returns the tiers, customers, services and rules, with the given model
// workers and order-desk addresses as endpoints.
func Deployment(engines []Engine, desks []string) operator.Deployment {
	d := operator.New("Hsu Rounds Order Desk and Assistant").
		WithGoodputWeight(0.8).
		WithTier(Allergen, 4*time.Second, "a fast yes or no before somebody eats").
		WithTier(Question, 10*time.Second, "quick questions about fillings, and orders").
		WithTier(Plan, 60*time.Second, "a week of lunches")
	for _, office := range Offices {
		d = d.WithCustomer(office, Token(office), Allergen, Question, Plan)
	}
	return d.
		WithService(assistant(engines), "the model workers").
		WithService(orderDesk(desks), "the order desk").
		WithRule(configuration.Rule{
			Service: Assistant, Methods: []string{"POST"}, Path: "/v1/completions", Idempotent: true, Tier: Question,
		}, "asking the assistant twice does no harm").
		WithRule(configuration.Rule{
			Service: OrderDesk, Methods: []string{"GET"}, Path: "/stock/**", Idempotent: true, Tier: Question,
		}, "stock can be read again").
		WithRule(configuration.Rule{
			Service: OrderDesk, Path: "/**", Idempotent: false, Tier: Question,
		}, "orders and confirmations run once at most")
}

func assistant(engines []Engine) configuration.Service {
	s := configuration.Service{
		Name: Assistant, Prefix: "/assistant", Kind: configuration.Model, EchoesAttempt: true, Resumes: true,
	}
	for i, e := range engines {
		s.Endpoints = append(s.Endpoints, configuration.Endpoint{
			Name:          fmt.Sprintf("assistant-%d", i+1),
			Address:       e.Address,
			DataCentre:    DataCentres[i%len(DataCentres)],
			InFlightLimit: 8,
			PrefillSpeed:  e.PrefillSpeed,
			DecodeSpeed:   e.DecodeSpeed,
		})
	}
	return s
}

func orderDesk(desks []string) configuration.Service {
	s := configuration.Service{
		Name: OrderDesk, Prefix: "/orders", Kind: configuration.Application, EchoesAttempt: true,
	}
	for i, address := range desks {
		s.Endpoints = append(s.Endpoints, configuration.Endpoint{
			Name:          fmt.Sprintf("desk-%d", i+1),
			Address:       address,
			DataCentre:    DataCentres[i%len(DataCentres)],
			InFlightLimit: 16,
		})
	}
	return s
}

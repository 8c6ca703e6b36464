// Package hsu is the deployment of the Hsu Rounds Order Desk and Assistant.
package hsu

import (
	"fmt"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/operator"
)

// Names that the programs of this repository refer to.
const (
	Assistant = "assistant-pool"
	OrderDesk = "order-desk"

	Allergen = "allergen"
	Question = "question"
	Plan     = "plan"
)

// Engine is one model worker's address and speed.
type Engine struct {
	Address      string
	PrefillSpeed float64
	DecodeSpeed  float64
}

// DataCentres are the three in Taipei.
var DataCentres = []string{"taipei-a", "taipei-b", "taipei-c"}

// Offices are the customers, each with the bearer token of the same name.
var Offices = []string{"xinyi-tower", "neihu-campus", "songshan-floor", "daan-studio", "nangang-labs"}

// Token gives an office's token in this example.
func Token(office string) string { return "token-of-" + office }

// Deployment declares the tiers, services and rules for the given workers.
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

package deployment

import (
	"fmt"

	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/examples/pkg/kerbrat"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/fleet"
)

// loadLag is how old the load reports of the engines are.
const loadLag = "1s"

func (d *Deployment) startEndpoints() error {
	addresses, err := fleet.Addresses(d.plan.Engines + d.plan.Desks)
	if err != nil {
		return err
	}
	d.declare(addresses[:d.plan.Engines], addresses[d.plan.Engines:])
	configuration := d.Declared.Configuration()
	deployed := audit.Event{Kind: audit.Deployed, Services: map[string]string{}}
	for _, tier := range configuration.Tiers {
		deployed.Tiers = append(deployed.Tiers, tier.Name)
	}
	for _, service := range configuration.Services {
		deployed.Services[service.Prefix] = service.Name
		for i, e := range service.Endpoints {
			deployed.Services[e.Name] = service.Name
			if err := d.startEndpoint(string(service.Kind), i, e.Name, e.Address, e.DataCentre); err != nil {
				return err
			}
		}
	}
	d.Timeline.Add(deployed)
	return fleet.AwaitListening(addresses...)
}

// declare sets the example deployment of the plan, with the given addresses.
func (d *Deployment) declare(engines, applications []string) {
	if d.plan.Kind == "kerbrat" {
		d.Declared, d.Token = kerbrat.Deployment(engines, applications), kerbrat.Token
	} else {
		d.Declared, d.Token = hsu.Deployment(d.hsuEngines(engines), applications), hsu.Token
	}
	if d.plan.GoodputWeight != nil {
		d.Declared = d.Declared.WithGoodputWeight(*d.plan.GoodputWeight)
	}
	if d.plan.InFlight > 0 {
		for _, name := range []string{hsu.Assistant, kerbrat.Atelier} {
			d.Declared = d.Declared.WithInFlightLimit(name, d.plan.InFlight)
		}
	}
}

func (d *Deployment) generation(number int) Generation {
	return d.plan.Generations[number%len(d.plan.Generations)]
}

func (d *Deployment) hsuEngines(addresses []string) []hsu.Engine {
	engines := make([]hsu.Engine, len(addresses))
	for i, address := range addresses {
		g := d.generation(i)
		engines[i] = hsu.Engine{Address: address, PrefillSpeed: g.Prefill, DecodeSpeed: g.Decode}
	}
	return engines
}

func (d *Deployment) startEndpoint(kind string, number int, name, address, dataCentre string) error {
	args := []string{"application", "--work", "20ms"}
	if kind == "model" {
		g := d.generation(number)
		args = []string{
			"engine", "--prefill-speed", fmt.Sprint(g.Prefill), "--step", g.Step.String(),
			"--step-each", g.StepEach.String(), "--load-lag", loadLag,
		}
	}
	args = append(args, "--listen", address, "--name", name, "--run-log", d.fleet.Path(name+audit.RunLogSuffix))
	process, err := d.fleet.Start(name, "standin", args...)
	if err != nil {
		return err
	}
	d.Endpoints[name] = address
	d.Processes[name] = process
	return d.SetHostListEntry(name, HostListEntry{Address: address, DataCentre: dataCentre, Role: "endpoint", State: "live"})
}

// EndpointsByService returns the endpoints of each service, for a caller.Baseline
// that bypasses the entry hosts.
func (d *Deployment) EndpointsByService() []caller.Service {
	var services []caller.Service
	for _, s := range d.Declared.Configuration().Services {
		service := caller.Service{Prefix: s.Prefix}
		for _, e := range s.Endpoints {
			service.Endpoints = append(service.Endpoints, caller.Destination{Name: e.Name, Listen: e.Address, Prefix: s.Prefix})
		}
		services = append(services, service)
	}
	return services
}

// Package deployment starts a complete deployment as processes on loopback: the
// stand-ins of the platform, the endpoints and the entry hosts. It also applies
// the configuration to them.
package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/operator"
	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/examples/pkg/kerbrat"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/fleet"
)

const (
	hostListLag = "2s"
	loadLag     = "1s"
	httpTimeout = 5 * time.Second
)

// Generation is the speed of one accelerator generation. Prefill and Decode are
// in tokens/s. Step is the time of a decode step with one request, StepEach the
// time that each further request adds.
type Generation struct {
	Prefill  float64
	Decode   float64
	Step     time.Duration
	StepEach time.Duration
}

// Generations are four accelerator generations, fastest first.
var Generations = []Generation{
	{Prefill: 16000, Decode: 140, Step: 6 * time.Millisecond, StepEach: 200 * time.Microsecond},
	{Prefill: 10000, Decode: 90, Step: 9 * time.Millisecond, StepEach: 300 * time.Microsecond},
	{Prefill: 6000, Decode: 60, Step: 14 * time.Millisecond, StepEach: 400 * time.Microsecond},
	{Prefill: 3500, Decode: 40, Step: 22 * time.Millisecond, StepEach: 600 * time.Microsecond},
}

// Plan is the size and the variant of a deployment to start.
type Plan struct {
	// Kind is the example deployment: "hsu" or "kerbrat".
	Kind    string
	Hosts   int
	Engines int
	Desks   int
	// Generations are assigned to the engines in rotation.
	Generations []Generation
	// Record makes the hosts write a record of every decision to their logs.
	Record bool
	// GoodputWeight overrides the goodput weight of the deployment, unless nil.
	GoodputWeight *float64
	// InFlight overrides the in-flight limit of each engine, unless zero.
	InFlight int
}

// CurrentSizePlan returns a Plan with as many engines and application endpoints as
// today's deployments have.
func CurrentSizePlan(kind string, hosts int) Plan {
	return Plan{Kind: kind, Hosts: hosts, Engines: 10, Desks: 3, Generations: Generations}
}

// Host is one entry host with its addresses and its current process.
type Host struct {
	Name         string
	Listen       string
	Peer         string
	Status       string
	Process      *fleet.Process
	incarnations int
}

// Deployment is a running deployment with its processes and addresses.
type Deployment struct {
	plan      Plan
	fleet     *fleet.Fleet
	Timeline  *Timeline
	Declared  operator.Deployment
	Token     func(string) string
	KeyValue  string
	hostList  string
	Hosts     []*Host
	Endpoints map[string]string
	Processes map[string]*fleet.Process
	version   int
	client    *http.Client
}

// hostSettings is the content of the settings file of godwitmoord.
type hostSettings struct {
	Name         string            `json:"name"`
	DataCentre   string            `json:"data-centre"`
	Listen       string            `json:"listen"`
	PeerListen   string            `json:"peer-listen"`
	StatusListen string            `json:"status-listen"`
	KeyValueURL  string            `json:"key-value-url"`
	HostListURL  string            `json:"host-list-url"`
	StopNotice   document.Duration `json:"stop-notice"`
	Record       bool              `json:"record"`
}

// HostListEntry is one entry of the platform's host list.
type HostListEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// Deploy starts the platform, the endpoints and the hosts, and applies the
// configuration with the command godwitmoor. It returns the Deployment as far as
// it was started, even with an error.
func Deploy(f *fleet.Fleet, plan Plan, t *Timeline) (*Deployment, error) {
	d := &Deployment{
		plan: plan, fleet: f, Timeline: t,
		Endpoints: map[string]string{}, Processes: map[string]*fleet.Process{},
		client: &http.Client{Timeout: httpTimeout},
	}
	steps := []func() error{
		d.startPlatform,
		d.startEndpoints,
		d.startHosts,
		d.Apply,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *Deployment) startPlatform() error {
	addresses, err := fleet.Addresses(2)
	if err != nil {
		return err
	}
	d.KeyValue, d.hostList = "http://"+addresses[0], "http://"+addresses[1]
	if _, err := d.fleet.Start("keyvalue", "standin", "keyvalue", "--listen", addresses[0]); err != nil {
		return err
	}
	if _, err := d.fleet.Start("hostlist", "standin", "hostlist", "--listen", addresses[1], "--lag", hostListLag); err != nil {
		return err
	}
	return fleet.AwaitListening(addresses...)
}

func (d *Deployment) startEndpoints() error {
	addresses, err := fleet.Addresses(d.plan.Engines + d.plan.Desks)
	if err != nil {
		return err
	}
	engineAddresses, applicationAddresses := addresses[:d.plan.Engines], addresses[d.plan.Engines:]
	if d.plan.Kind == "kerbrat" {
		d.Declared, d.Token = kerbrat.Deployment(engineAddresses, applicationAddresses), kerbrat.Token
	} else {
		d.Declared, d.Token = hsu.Deployment(d.hsuEngines(engineAddresses), applicationAddresses), hsu.Token
	}
	if d.plan.GoodputWeight != nil {
		d.Declared = d.Declared.WithGoodputWeight(*d.plan.GoodputWeight)
	}
	if d.plan.InFlight > 0 {
		for _, name := range []string{hsu.Assistant, kerbrat.Atelier} {
			d.Declared = d.Declared.WithInFlightLimit(name, d.plan.InFlight)
		}
	}
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

func (d *Deployment) startHosts() error {
	for i := range d.plan.Hosts {
		addresses, err := fleet.Addresses(3)
		if err != nil {
			return err
		}
		h := &Host{Name: fmt.Sprintf("entry-%d", i+1), Listen: addresses[0], Peer: addresses[1], Status: addresses[2]}
		if err := d.startHost(h, hsu.DataCentres[i%len(hsu.DataCentres)]); err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, h)
	}
	return nil
}

func (d *Deployment) startHost(h *Host, dataCentre string) error {
	data, err := json.MarshalIndent(hostSettings{
		Name: h.Name, DataCentre: dataCentre, Listen: h.Listen, PeerListen: h.Peer, StatusListen: h.Status,
		KeyValueURL: d.KeyValue, HostListURL: d.hostList, StopNotice: document.Duration(2 * time.Second), Record: d.plan.Record,
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := d.fleet.Path(h.Name + ".jsonc")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := d.launch(h, file); err != nil {
		return err
	}
	return d.SetHostListEntry(h.Name, HostListEntry{Address: h.Peer, DataCentre: dataCentre, Role: "entry", State: "live"})
}

// launch starts the process of a host. Each incarnation has its own log file.
func (d *Deployment) launch(h *Host, settings string) error {
	name := h.Name
	if h.incarnations > 0 {
		name = fmt.Sprintf("%s-life-%d", h.Name, h.incarnations+1)
	}
	h.incarnations++
	process, err := d.fleet.Start(name, "godwitmoord", "--settings", settings)
	if err != nil {
		return err
	}
	h.Process = process
	d.Processes[h.Name] = process
	return nil
}

// Restart starts the process of a host again, with the same settings, after the
// previous one has ended.
func (d *Deployment) Restart(h *Host) error {
	return d.launch(h, d.fleet.Path(h.Name+".jsonc"))
}

// SetHostListEntry creates or replaces the entry of a host or an endpoint in the
// platform's host list.
func (d *Deployment) SetHostListEntry(name string, line HostListEntry) error {
	return d.Call(http.MethodPut, d.hostList+"/hosts/"+name, line)
}

// Call sends a request with a JSON body to a stand-in. Any status but 200 is an
// error.
func (d *Deployment) Call(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the body of a request to a stand-in")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create a request to a stand-in")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send a request to a stand-in")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s returned status %s", url, response.Status)
	}
	return nil
}

// Apply applies the declared configuration with the command godwitmoor and waits
// until all live hosts have it in force.
func (d *Deployment) Apply() error {
	d.version++
	name := fmt.Sprintf("apply-%d", d.version)
	file := d.fleet.Path(name + ".jsonc")
	var text bytes.Buffer
	if err := d.Declared.Print(&text); err != nil {
		return err
	}
	if err := os.WriteFile(file, text.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	args := []string{"apply", "--key-value", d.KeyValue, "--by", "trial", "--wait"}
	for _, h := range d.Hosts {
		args = append(args, "--host", "http://"+h.Status)
	}
	started := time.Now()
	process, err := d.fleet.Start(name, "godwitmoor", append(args, file)...)
	if err != nil {
		return err
	}
	err = process.Wait(time.Minute)
	if err != nil {
		return errors.Wrapf(err, "godwitmoor apply failed; see %s.log", name)
	}
	d.Timeline.Add(audit.Event{At: started, Kind: audit.Accepted, Version: int64(d.version)})
	return nil
}

// HostDestinations returns the entry hosts in the form that a caller.Balancer takes.
func (d *Deployment) HostDestinations() []caller.Destination {
	hosts := make([]caller.Destination, len(d.Hosts))
	for i, h := range d.Hosts {
		hosts[i] = caller.Destination{Name: h.Name, Listen: h.Listen, Status: h.Status}
	}
	return hosts
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

// Host returns the host with the given name.
func (d *Deployment) Host(name string) (*Host, error) {
	for _, h := range d.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Newf("the trace names host %q, but the deployment has no host of that name", name)
}

// Plan returns the Plan that the deployment was started with.
func (d *Deployment) Plan() Plan { return d.plan }

package trial

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
	engines  = 10
	desks    = 3
	hostLag  = "2s"
	loadLag  = "1s"
	httpWait = 5 * time.Second
)

// generation is one kind of accelerator.
type generation struct {
	prefill  float64
	step     string
	stepEach string
	decode   float64
}

// generations are four hardware generations, the fastest first.
var generations = []generation{
	{prefill: 16000, step: "6ms", stepEach: "200us", decode: 140},
	{prefill: 10000, step: "9ms", stepEach: "300us", decode: 90},
	{prefill: 6000, step: "14ms", stepEach: "400us", decode: 60},
	{prefill: 3500, step: "22ms", stepEach: "600us", decode: 40},
}

// member is one entry host of the trial.
type member struct {
	name    string
	listen  string
	peer    string
	status  string
	process *fleet.Process
}

// deployment is everything that runs in a trial.
type deployment struct {
	fleet     *fleet.Fleet
	timeline  *timeline
	declared  operator.Deployment
	token     func(string) string
	keyValue  string
	hostList  string
	members   []*member
	endpoints map[string]string
	processes map[string]*fleet.Process
	changes   int
	client    *http.Client
}

// hostSettings is the settings file of a daemon.
type hostSettings struct {
	Name         string            `json:"name"`
	DataCentre   string            `json:"data-centre"`
	Listen       string            `json:"listen"`
	PeerListen   string            `json:"peer-listen"`
	StatusListen string            `json:"status-listen"`
	KeyValueURL  string            `json:"key-value-url"`
	HostListURL  string            `json:"host-list-url"`
	StopNotice   document.Duration `json:"stop-notice"`
}

type listedHost struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// deploy starts the platform, the endpoints and the hosts, and applies the
// configuration through the operators' command.
func deploy(f *fleet.Fleet, kind string, hosts int, t *timeline) (*deployment, error) {
	d := &deployment{
		fleet: f, timeline: t,
		endpoints: map[string]string{}, processes: map[string]*fleet.Process{},
		client: &http.Client{Timeout: httpWait},
	}
	steps := []func() error{
		d.startPlatform,
		func() error { return d.startEndpoints(kind) },
		func() error { return d.startHosts(hosts) },
		d.apply,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) startPlatform() error {
	addresses, err := fleet.Addresses(2)
	if err != nil {
		return err
	}
	d.keyValue, d.hostList = "http://"+addresses[0], "http://"+addresses[1]
	if _, err := d.fleet.Start("keyvalue", "standin", "keyvalue", "--listen", addresses[0]); err != nil {
		return err
	}
	if _, err := d.fleet.Start("hostlist", "standin", "hostlist", "--listen", addresses[1], "--lag", hostLag); err != nil {
		return err
	}
	return fleet.AwaitListening(addresses...)
}

func (d *deployment) startEndpoints(kind string) error {
	addresses, err := fleet.Addresses(engines + desks)
	if err != nil {
		return err
	}
	models, plain := addresses[:engines], addresses[engines:]
	if kind == "kerbrat" {
		d.declared, d.token = kerbrat.Deployment(models, plain), kerbrat.Token
	} else {
		d.declared, d.token = hsu.Deployment(hsuEngines(models), plain), hsu.Token
	}
	configuration := d.declared.Configuration()
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
	d.timeline.add(deployed)
	return fleet.AwaitListening(addresses...)
}

func hsuEngines(addresses []string) []hsu.Engine {
	made := make([]hsu.Engine, len(addresses))
	for i, address := range addresses {
		g := generations[i%len(generations)]
		made[i] = hsu.Engine{Address: address, PrefillSpeed: g.prefill, DecodeSpeed: g.decode}
	}
	return made
}

func (d *deployment) startEndpoint(kind string, number int, name, address, dataCentre string) error {
	args := []string{"application", "--work", "20ms"}
	if kind == "model" {
		g := generations[number%len(generations)]
		args = []string{
			"engine", "--prefill-speed", fmt.Sprint(g.prefill), "--step", g.step,
			"--step-each", g.stepEach, "--load-lag", loadLag,
		}
	}
	args = append(args, "--listen", address, "--name", name, "--run-log", d.fleet.Path(name+audit.RunLogSuffix))
	process, err := d.fleet.Start(name, "standin", args...)
	if err != nil {
		return err
	}
	d.endpoints[name] = address
	d.processes[name] = process
	return d.list(name, listedHost{Address: address, DataCentre: dataCentre, Role: "endpoint", State: "live"})
}

func (d *deployment) startHosts(hosts int) error {
	for i := range hosts {
		addresses, err := fleet.Addresses(3)
		if err != nil {
			return err
		}
		m := &member{name: fmt.Sprintf("entry-%d", i+1), listen: addresses[0], peer: addresses[1], status: addresses[2]}
		if err := d.startHost(m, hsu.DataCentres[i%len(hsu.DataCentres)]); err != nil {
			return err
		}
		d.members = append(d.members, m)
	}
	return nil
}

func (d *deployment) startHost(m *member, dataCentre string) error {
	data, err := json.MarshalIndent(hostSettings{
		Name: m.name, DataCentre: dataCentre, Listen: m.listen, PeerListen: m.peer, StatusListen: m.status,
		KeyValueURL: d.keyValue, HostListURL: d.hostList, StopNotice: document.Duration(2 * time.Second),
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := d.fleet.Path(m.name + ".jsonc")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if m.process, err = d.fleet.Start(m.name, "godwitmoord", "--settings", file); err != nil {
		return err
	}
	d.processes[m.name] = m.process
	return d.list(m.name, listedHost{Address: m.peer, DataCentre: dataCentre, Role: "entry", State: "live"})
}

func (d *deployment) list(name string, line listedHost) error {
	return d.call(http.MethodPut, d.hostList+"/hosts/"+name, line)
}

func (d *deployment) call(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode a call")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "prepare a call")
	}
	response, err := d.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call a stand-in")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s answers %s", url, response.Status)
	}
	return nil
}

// apply brings what is declared into force through the operators' command.
func (d *deployment) apply() error {
	d.changes++
	name := fmt.Sprintf("apply-%d", d.changes)
	file := d.fleet.Path(name + ".jsonc")
	var page bytes.Buffer
	if err := d.declared.Print(&page); err != nil {
		return err
	}
	if err := os.WriteFile(file, page.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	args := []string{"apply", "--key-value", d.keyValue, "--by", "trial", "--wait"}
	for _, m := range d.members {
		args = append(args, "--host", "http://"+m.status)
	}
	process, err := d.fleet.Start(name, "godwitmoor", append(args, file)...)
	if err != nil {
		return err
	}
	err = process.Wait(time.Minute)
	if err != nil {
		return errors.Wrapf(err, "%s; see its log", name)
	}
	d.timeline.add(audit.Event{Kind: audit.Accepted, Version: int64(d.changes)})
	return nil
}

func (d *deployment) hosts() []caller.Host {
	hosts := make([]caller.Host, len(d.members))
	for i, m := range d.members {
		hosts[i] = caller.Host{Name: m.name, Listen: m.listen, Status: m.status}
	}
	return hosts
}

func (d *deployment) member(name string) (*member, error) {
	for _, m := range d.members {
		if m.name == name {
			return m, nil
		}
	}
	return nil, errors.Newf("the trace names host %q, which the deployment does not have", name)
}

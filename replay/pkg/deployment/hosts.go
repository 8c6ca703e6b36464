package deployment

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/fleet"
)

// Host is one entry host with its addresses and its current process.
type Host struct {
	Name         string
	Listen       string
	Peer         string
	Status       string
	Process      *fleet.Process
	incarnations int
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
	if err := os.WriteFile(d.settingsFile(h), data, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := d.launch(h); err != nil {
		return err
	}
	return d.SetHostListEntry(h.Name, HostListEntry{Address: h.Peer, DataCentre: dataCentre, Role: "entry", State: "live"})
}

func (d *Deployment) settingsFile(h *Host) string { return d.fleet.Path(h.Name + ".jsonc") }

// launch starts the process of a host. Each incarnation has its own log file.
func (d *Deployment) launch(h *Host) error {
	name := h.Name
	if h.incarnations > 0 {
		name = fmt.Sprintf("%s-life-%d", h.Name, h.incarnations+1)
	}
	h.incarnations++
	process, err := d.fleet.Start(name, "godwitmoord", "--settings", d.settingsFile(h))
	if err != nil {
		return err
	}
	h.Process = process
	d.Processes[h.Name] = process
	return nil
}

// Restart starts the process of a host again, with the same settings, after the
// previous one has ended.
func (d *Deployment) Restart(h *Host) error { return d.launch(h) }

// HostDestinations returns the entry hosts in the form that a caller.Balancer takes.
func (d *Deployment) HostDestinations() []caller.Destination {
	hosts := make([]caller.Destination, len(d.Hosts))
	for i, h := range d.Hosts {
		hosts[i] = caller.Destination{Name: h.Name, Listen: h.Listen, Status: h.Status}
	}
	return hosts
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

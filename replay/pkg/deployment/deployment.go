// Package deployment starts a complete deployment as processes on loopback: the
// stand-ins of the platform, the endpoints and the entry hosts. It also applies
// the configuration to them.
package deployment

import (
	"net/http"
	"time"

	"godwitmoor.example/coordination/pkg/operator"
	"godwitmoor.example/replay/pkg/fleet"
)

const httpTimeout = 5 * time.Second

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

package deployment

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/fleet"
)

// hostListLag is how long after a change the host list shows it.
const hostListLag = "2s"

// HostListEntry is one entry of the platform's host list.
type HostListEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Role       string `json:"role"`
	State      string `json:"state"`
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

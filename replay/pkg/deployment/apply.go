package deployment

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/audit"
)

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

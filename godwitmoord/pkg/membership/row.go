package membership

import (
	"github.com/cespare/xxhash/v2"
	"godwitmoor.example/coordination/pkg/host"
)

// maxFieldBytes bounds each text in a row.
const maxFieldBytes = 128

// Phase is a stage in the run of a host's process. Only the host itself sets it.
type Phase uint8

// The phases of a host, in the order in which it passes through them.
const (
	Starting Phase = iota
	Ready
	Leaving
)

// String returns the name of the phase in the status report.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "starting"
	}
}

// State is what the failure detector reports of a host.
type State uint8

// The states of a host, from best to worst.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the name of the state in the status report.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is what this host knows of one host of the fleet.
type Member struct {
	Identity   host.Identity
	Address    string
	DataCentre string
	Phase      Phase
	State      State
	// Version is the version of the configuration in force on the host.
	Version int64
}

// row is the record of one host that hosts exchange.
type row struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Phase       Phase  `cbor:"5,keyasint"`
	Version     int64  `cbor:"6,keyasint"`
	Revision    uint64 `cbor:"7,keyasint"`
	State       State  `cbor:"8,keyasint"`
	// Capacity is the processor time that the host may use, in thousandths of a core;
	// zero if it is not known.
	Capacity uint32 `cbor:"9,keyasint,omitempty"`
}

func (r row) identity() host.Identity {
	return host.Identity{Name: r.Name, Incarnation: r.Incarnation}
}

// valid reports whether a received row is within bounds and complete.
func (r row) valid() bool {
	withinLimits := len(r.Name) <= maxFieldBytes && len(r.Address) <= maxFieldBytes && len(r.DataCentre) <= maxFieldBytes
	knownValues := r.Phase <= Leaving && r.State <= Dead
	return withinLimits && knownValues && r.Name != "" && r.Address != "" && r.Incarnation > 0
}

// supersedes reports whether r replaces other, a row of the same host.
func (r row) supersedes(other row) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.State > other.State
}

// sameCandidate reports whether r qualifies its host for the same roles as other, a row
// of the same host.
func (r row) sameCandidate(other row) bool {
	return r.Phase == other.Phase && r.State == other.State && r.Capacity == other.Capacity
}

func (r row) member() Member {
	return Member{
		Identity:   r.identity(),
		Address:    r.Address,
		DataCentre: r.DataCentre,
		Phase:      r.Phase,
		State:      r.State,
		Version:    r.Version,
	}
}

// digest returns a hash of the name and of the fields that decide which of two
// rows is newer.
func (r row) digest() uint64 {
	numbers := []uint64{uint64(r.Incarnation), r.Revision, uint64(r.State)}
	sum := xxhash.Sum64String(r.Name)
	for _, n := range numbers {
		sum = (sum ^ n) * 0x9e3779b97f4a7c15
		sum ^= sum >> 29
	}
	return sum
}

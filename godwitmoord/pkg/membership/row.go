package membership

import (
	"github.com/cespare/xxhash/v2"
	"godwitmoor.example/coordination/pkg/host"
)

// Phase is what a host says of itself.
type Phase uint8

// The phases of a host.
const (
	Starting Phase = iota
	Ready
	Leaving
)

// String gives the phase's name in reports.
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

// State is what others say of a host.
type State uint8

// The states of a host, the worse the higher.
const (
	Alive State = iota
	Suspect
	Dead
)

// String gives the state's name in reports.
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

// Member is one host as this one knows it.
type Member struct {
	Identity   host.Identity
	Address    string
	DataCentre string
	Phase      Phase
	State      State
	// Version is the configuration that the host has in force.
	Version int64
}

type row struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Phase       Phase  `cbor:"5,keyasint"`
	Version     int64  `cbor:"6,keyasint"`
	Revision    uint64 `cbor:"7,keyasint"`
	State       State  `cbor:"8,keyasint"`
}

func (r row) identity() host.Identity {
	return host.Identity{Name: r.Name, Incarnation: r.Incarnation}
}

func (r row) wellFormed() bool {
	sizes := len(r.Name) <= maxField && len(r.Address) <= maxField && len(r.DataCentre) <= maxField
	known := r.Phase <= Leaving && r.State <= Dead
	return sizes && known && r.Name != "" && r.Address != "" && r.Incarnation > 0
}

// after tells whether r is news beside other, a row of the same host.
func (r row) after(other row) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.State > other.State
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

func (r row) digest() uint64 {
	numbers := []uint64{uint64(r.Incarnation), r.Revision, uint64(r.State)}
	sum := xxhash.Sum64String(r.Name)
	for _, n := range numbers {
		sum = (sum ^ n) * 0x9e3779b97f4a7c15
		sum ^= sum >> 29
	}
	return sum
}

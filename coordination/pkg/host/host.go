// Package host identifies the hosts of a deployment and ranks them by their
// responsibility for a key.
//
// A host is identified by its name, and each run of its process by an
// incarnation number. Ranked returns the hosts in the order in which they are
// responsible for a key; hosts compute it without communication.
//
// # Usage
//
//	owner := host.Ranked(names, "assistant-pool", 1)[0]
package host

// Identity identifies one incarnation of a host: one run of its process.
type Identity struct {
	// Name is the host's name in the settings; it stays the same after a restart.
	Name string `json:"name"`
	// Incarnation is different for each run of the process and only increases.
	Incarnation int64 `json:"incarnation"`
}

// Later reports whether i is a later incarnation of the same host than other.
func (i Identity) Later(other Identity) bool {
	return i.Name == other.Name && i.Incarnation > other.Incarnation
}

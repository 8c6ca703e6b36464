// Package host holds who the hosts of a deployment are and which of them a
// matter belongs to.
//
// A host is known by its name, and one life of its process by an incarnation.
// Ranked gives the order in which live hosts are responsible for a key, without
// a word between them.
//
// # Usage
//
//	owner := host.Ranked(names, "assistant-pool", 1)[0]
package host

// Identity is one life of one host's process.
type Identity struct {
	// Name is the host's name in the settings, the same after a restart.
	Name string `json:"name"`
	// Incarnation tells one life of the process from the next; it only rises.
	Incarnation int64 `json:"incarnation"`
}

// Later tells whether i is a later life of the same host than other.
func (i Identity) Later(other Identity) bool {
	return i.Name == other.Name && i.Incarnation > other.Incarnation
}

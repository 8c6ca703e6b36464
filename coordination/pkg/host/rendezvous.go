package host

import (
	"github.com/cespare/xxhash/v2"
)

// Ranked returns the n names with the highest rendezvous weight for key, the
// highest first. It returns the same order in every process that has the same
// names. When a name is added or removed, only the keys for which that name ranks
// first change their first name.
func Ranked(names []string, key string, n int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	best := make([]weighted, 0, n+1)
	for _, name := range names {
		w := weighted{name: name, weight: weight(name, key)}
		at := len(best)
		for at > 0 && ranksBefore(w.weight, w.name, best[at-1].weight, best[at-1].name) {
			at--
		}
		if at >= n {
			continue
		}
		best = append(best, weighted{})
		copy(best[at+1:], best[at:])
		best[at] = w
		if len(best) > n {
			best = best[:n]
		}
	}
	ranked := make([]string, len(best))
	for i, w := range best {
		ranked[i] = w.name
	}
	return ranked
}

func ranksBefore(weightA uint64, nameA string, weightB uint64, nameB string) bool {
	if weightA != weightB {
		return weightA > weightB
	}
	return nameA < nameB
}

func weight(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never return an error.
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

package front

import "godwitmoor.example/coordination/pkg/exchange"

const (
	// maxSharedParts and maxPartIDBytes bound what is sent to owners of a prompt's parts.
	maxSharedParts = 256
	maxPartIDBytes = 64
)

// sharedParts returns the ids of the parts of a prompt that other requests may share:
// all but the last. Ids that exceed the bounds are left out.
func sharedParts(parts []exchange.Part) []string {
	if len(parts) == 0 {
		return nil
	}
	var ids []string
	for _, part := range parts[:len(parts)-1] {
		if part.ID != "" && len(part.ID) <= maxPartIDBytes && len(ids) < maxSharedParts {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

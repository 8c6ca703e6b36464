package keyvalue

import "fmt"

// A store that is restored from a copy begins its next era, and gives revisions out
// again that it gave out before. A revision of this package therefore holds both: the
// era in the high bits, above the revision as the service counts it. Revisions of a
// service that was never restored are as the service states them.
const (
	eraFlag  = int64(1) << 62
	eraShift = 50
	// MaxEra and MaxCount are the highest era that a revision can hold, and the
	// highest revision within an era other than the first.
	MaxEra   = int64(1)<<(62-eraShift) - 1
	MaxCount = int64(1)<<eraShift - 1
)

// InEra returns the revision that stands for the given one of the service in an era.
// It rises with both. Era zero is the time before the first restore.
func InEra(era, revision int64) int64 {
	if era <= 0 {
		return revision
	}
	return eraFlag | min(era, MaxEra)<<eraShift | min(max(revision, 0), MaxCount)
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 {
	if revision < eraFlag {
		return 0
	}
	return revision >> eraShift & MaxEra
}

// WithoutEra returns a revision as the service counts it in its era.
func WithoutEra(revision int64) int64 {
	if revision < eraFlag {
		return revision
	}
	return revision & MaxCount
}

// EarlierEraError reports a reply from an era before the one that is known. It is the
// cause of an *UnreachableError.
type EarlierEraError struct{ Era, Known int64 }

func (e *EarlierEraError) Error() string {
	return fmt.Sprintf("the reply is of era %d, but the service was in era %d before; check that all its replicas were restored", e.Era, e.Known)
}

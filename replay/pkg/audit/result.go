package audit

import "fmt"

// maxExamples is how many violations of one promise are described; all are
// counted.
const maxExamples = 3

// Status says whether a run kept a promise.
type Status string

// The values of Status. NotJudged means that the run had no case to which the
// promise applies.
const (
	Held      Status = "held"
	Broken    Status = "broken"
	NotJudged Status = "not judged"
)

// Result is the result for one promise.
type Result struct {
	// Number is the number of the promise, 1 to 8.
	Number  int
	Promise string
	Status  Status
	// Cases counts the cases checked, Violations those that broke the promise.
	// Examples describes the first few violations.
	Cases      int
	Violations int
	Examples   []string
}

func (r Result) withStatus() Result {
	switch {
	case r.Violations > 0:
		r.Status = Broken
	case r.Cases > 0:
		r.Status = Held
	default:
		r.Status = NotJudged
	}
	return r
}

func (r *Result) addViolation(format string, values ...any) {
	r.Violations++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, values...))
	}
}

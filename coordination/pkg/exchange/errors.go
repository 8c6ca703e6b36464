package exchange

import "fmt"

// MalformedError says that a header does not hold what it should.
type MalformedError struct{ Header, Value string }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("header %s: %q cannot be read; send it in its documented form or leave it out", e.Header, e.Value)
}

package exchange

import "fmt"

// MalformedError reports a header whose value cannot be parsed.
type MalformedError struct{ Header, Value string }

func (e *MalformedError) Error() string {
	return fmt.Sprintf("header %s: value %q cannot be parsed; send it in the documented format or omit it", e.Header, e.Value)
}

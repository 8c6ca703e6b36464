// Package traces holds the traces that come with the program.
package traces

import _ "embed"

// Try is the short mixed trace of make try.
//
//go:embed try.jsonc
var Try []byte

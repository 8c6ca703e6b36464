// Package traces embeds the traces that are compiled into the replay program.
package traces

import _ "embed"

// Try is the short mixed trace that `replay try` and `make try` run.
//
//go:embed try.jsonc
var Try []byte

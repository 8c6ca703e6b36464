package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// platformSettings returns the settings of a host on the platform, with one more
// line in its platform section.
func platformSettings(line string) []byte {
	return []byte(`{
		"name": "entry-1", "data-centre": "north",
		"listen": "127.0.0.1:1", "peer-listen": "127.0.0.1:2", "status-listen": "127.0.0.1:3",
		"platform": {
			"store": "127.0.0.1:4", "readiness": "127.0.0.1:5", "hosts": [],
			"key-revocation": "5s", "stop-grace": "8s", "quota-window": "8s",
			"repeat-ratio": 0.2, "repeat-slack": 58, "repeat-window": "10s",
			` + line + `
		},
	}`)
}

func TestRankWeightsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := Parse("host.jsonc", platformSettings(`"rank-weights": [20, 5.5, 1], "worst-rank-weight": 0.2,`), Overrides{})
	is.NoErr(err)
	for line, field := range map[string]string{
		`"rank-weights": [20, 0],`:   "rank-weights",
		`"worst-rank-weight": -0.2,`: "worst-rank-weight",
	} {
		_, err := Parse("host.jsonc", platformSettings(line), Overrides{})
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), field))
		is.True(strings.Contains(err.Error(), "zero")) // the remedy is named
	}
}

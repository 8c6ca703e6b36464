package exchange_test

import (
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
)

func TestOnlyADecimalNumberNamesALimit(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]exchange.RateLimit{
		"":       {},
		"8.1":    {Named: true, PerSecond: 8.1},
		" 3 ":    {Named: true, PerSecond: 3},
		"0":      {Named: true},
		"0.25":   {Named: true, PerSecond: 0.25},
		"1e300":  {Named: true, PerSecond: 1e300},
		"-1":     {Unreadable: true},
		"NaN":    {Unreadable: true},
		"Inf":    {Unreadable: true},
		"few":    {Unreadable: true},
		"8.1, 9": {Unreadable: true},
	} {
		is.Equal(exchange.ParseRateLimit(text), want)
	}
}

package exchange_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
)

func TestPauseIsParsed(t *testing.T) {
	for _, test := range []struct {
		values     []string
		pause      time.Duration
		unreadable bool
	}{
		{},
		{values: []string{"2"}, pause: 2 * time.Second},
		{values: []string{" 0.25 "}, pause: 250 * time.Millisecond},
		{values: []string{"0"}},
		{values: []string{"1", "3", "2"}, pause: 3 * time.Second},
		{values: []string{"-1"}, unreadable: true},
		{values: []string{"NaN"}, unreadable: true},
		{values: []string{"1e999"}, unreadable: true},
		{values: []string{"1e9"}, pause: time.Hour},
		{values: []string{"Wed, 21 Oct 2026 07:28:00 GMT"}, unreadable: true},
		{values: []string{"soon", "1"}, pause: time.Second, unreadable: true},
	} {
		is := is.New(t)
		p := exchange.ParsePause(test.values)
		is.Equal(p, exchange.Pause{For: test.pause, Unreadable: test.unreadable})
	}
}

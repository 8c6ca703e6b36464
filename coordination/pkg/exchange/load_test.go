package exchange_test

import (
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
)

// Guards against a load that is dropped because something follows its three values, and
// against a slowness that no machine has.
func TestLoadIsReadWhateverFollowsIt(t *testing.T) {
	for text, want := range map[string]exchange.Load{
		"":                    {},
		"3":                   {},
		"3,1":                 {},
		"3,1,8":               {Running: 3, Waiting: 1, Slots: 8},
		" 3, 1, 8 ":           {Running: 3, Waiting: 1, Slots: 8},
		"3,x,8":               {Running: 3, Slots: 8},
		"3,1,8,100":           {Running: 3, Waiting: 1, Slots: 8, Slowness: 1},
		"3,1,8,250":           {Running: 3, Waiting: 1, Slots: 8, Slowness: 2.5},
		"3,1,8, 87.5 ":        {Running: 3, Waiting: 1, Slots: 8, Slowness: 0.875},
		"3,1,8,":              {Running: 3, Waiting: 1, Slots: 8},
		"3,1,8,10000":         {Running: 3, Waiting: 1, Slots: 8, Slowness: 100},
		"3,1,8,250,7,x":       {Running: 3, Waiting: 1, Slots: 8, Slowness: 2.5},
		"3,1,8,,7":            {Running: 3, Waiting: 1, Slots: 8},
		"3,1,8,0":             {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,-100":          {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,10001":         {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,1e999":         {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,NaN":           {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,Inf":           {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,slow":          {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,250%":          {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8,slow,250":      {Running: 3, Waiting: 1, Slots: 8, Unreadable: true},
		"3,1,8;250":           {Running: 3, Waiting: 1},
		"3,1,8,50":            {Running: 3, Waiting: 1, Slots: 8, Slowness: 0.5},
		"running,waiting,all": {},
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			is.Equal(exchange.ParseLoad(text), want)
		})
	}
}

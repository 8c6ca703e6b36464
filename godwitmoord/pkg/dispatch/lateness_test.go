package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestLateOwnerSaysSoOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l lateness
		lines := 0
		for range 30 {
			if l.observe(2 * lateFrom) {
				lines++
				is.Equal(l.worst, 2*lateFrom)
				l = lateness{loggedAt: time.Now()}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(lines, 3)
	})
}

func TestOwnerThatKeepsUpSaysNothing(t *testing.T) {
	is := is.New(t)
	var l lateness
	is.True(!l.observe(lateFrom - 1))
	is.Equal(l.late, 0)
}

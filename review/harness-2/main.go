// Program harness-2 plays the script cases of the second review. It runs in the
// repository's root: it starts the product's own programs as the deploy file does, and
// stand-ins of clients, workers and the platform in this process, all on loopback.
//
// # Usage
//
//	harness-2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit statuses.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// longestCase bounds each case.
const longestCase = 110 * time.Second

// scene is what the cases share.
type scene struct {
	dir     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (s *scene) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

// cases are the cases by name, and two further findings: bodies and quota. Each returns what
// broke the rule; empty if it held.
var cases = map[string]func(*scene) (string, error){
	"config": playBigConfig,
	"unread": playUnread,
	"garble": playGarble,
	"poison": playPoison,
	"heads":  playHeads,
	"bodies": playBodies,
	"quota":  playQuota,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return couldntRun
	}
	dir, err := os.MkdirTemp("", "harness-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer record.Close()
	s := &scene{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	time.AfterFunc(longestCase, func() {
		s.note("the case took too long")
		os.Exit(couldntRun)
	})
	s.note("case %s, trouble %t", os.Args[1], s.trouble)
	problem, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return couldntRun
	case problem != "":
		s.note("BROKEN: %s", problem)
		fmt.Println("broken:", problem)
		return broken
	default:
		s.note("held")
		fmt.Println("held")
		return held
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineService = "pool"
	engineCount   = 6
	engineSlots   = 12
	poisonPart    = "dead0bad"
	// partCount is the number of parts of each prompt, poisonAt the place of the part that
	// crashes engines, counted from 0.
	partCount  = 300
	poisonAt   = 280
	poisonTime = 40 * time.Second
	// allowedAfter is how many requests with the part may reach workers later than
	// StableWindowMs after the fifth crash.
	allowedAfter = 3
	knownCrashes = 5
)

// prefixOf returns the parts of a prompt that shares all but a few of its parts with
// others. A part of its own stands at the place of the part that crashes engines, or that
// part itself.
func prefixOf(request int, place int, poisoned bool) string {
	parts := make([]string, partCount)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:4", 0x10000000+i)
	}
	parts[place] = fmt.Sprintf("%08x:4", 0x20000000+request)
	if poisoned {
		parts[place] = poisonPart + ":4"
	}
	parts[partCount-2] = fmt.Sprintf("%08x:4", 0x30000000+request)
	parts[partCount-1] = fmt.Sprintf("%08x:4", 0x40000000+request)
	return strings.Join(parts, ",")
}

// streamCall sends a request for a stream on a connection of its own.
func streamCall(address, attempt, prefix string) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	if err := sendStreamRequest(c.conn, "/plan/1", attempt, 5*time.Second, prefix, 4*partCount); err != nil {
		return answer{err: err}
	}
	return c.read(http.MethodPost)
}

// sendStreamRequest sends a request for a stream.
func sendStreamRequest(w io.Writer, path, attempt string, deadline time.Duration, prefix string, tokens int) error {
	head := headOf(http.MethodPost, path, attempt, apiKey, deadline)
	_, err := fmt.Fprintf(w, "%sGodwitmoor-Model: m\r\nGodwitmoor-Token-Count: %d,48\r\nGodwitmoor-Prompt-Prefix: %s\r\nContent-Length: 4\r\n\r\nplan", head, tokens, prefix)
	return err
}

// playPoison sends requests of which some have a part that crashes engines, and counts how
// many of these still reach engines once that is known. PLACE in the environment puts the
// part at another place.
func playPoison(s *scene) (string, error) {
	place := poisonAt
	if text := os.Getenv("PLACE"); text != "" {
		place, _ = strconv.Atoi(text)
	}
	st, log := newStore(), &runLog{}
	l, err := listen()
	if err != nil {
		return "", err
	}
	go st.serve(l)
	var mu sync.Mutex
	var crashes []time.Time
	sentAt := map[string]time.Time{}
	for i := range engineCount {
		e := &engine{id: fmt.Sprintf("e-%d", i+1), log: log, store: st, service: engineService, slots: engineSlots}
		if s.trouble {
			e.poison = poisonPart
		}
		e.onCrash = func(attempt string) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			s.note("crash %d: %s, on %s", len(crashes), e.id, attempt)
		}
		if err := e.start(); err != nil {
			return "", err
		}
	}
	st.set("op/config", configuration(1, []route{{name: "plan", kind: "streaming", service: engineService, timeout: 5 * time.Second, attempts: 1}},
		[]map[string]any{modelService(engineService, engineSlots)}, []string{apiKey}))
	nodes, err := s.newNodes(3, l.Addr().String())
	if err != nil {
		return "", err
	}
	if err := startAll(nodes); err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(stableWindow)
	end := time.Now().Add(poisonTime)
	var done sync.WaitGroup
	statuses := map[string]int{}
	send := func(name string, every time.Duration, poisoned bool) {
		defer done.Done()
		for k := 0; time.Now().Before(end); k++ {
			number := k*10 + map[bool]int{false: 0, true: 1}[poisoned]
			attempt := fmt.Sprintf("%s-%d", name, k)
			address := nodes[k%len(nodes)].fields.front
			mu.Lock()
			sentAt[attempt] = time.Now()
			mu.Unlock()
			done.Add(1)
			go func() {
				defer done.Done()
				a := streamCall(address, attempt, prefixOf(number, place, poisoned))
				if poisoned {
					s.note("%s: status %d, error %v", attempt, a.status, a.err)
				}
				mu.Lock()
				statuses[fmt.Sprintf("%s %d %t", name, a.status, a.err == nil)]++
				mu.Unlock()
			}()
			time.Sleep(every)
		}
	}
	done.Add(2)
	go send("sound", 80*time.Millisecond, false)
	go send("poisoned", 700*time.Millisecond, true)
	done.Wait()
	s.note("answers by kind, status and whether whole: %v", statuses)
	if len(crashes) < knownCrashes {
		s.note("%d crashes", len(crashes))
		return "", nil
	}
	known := crashes[knownCrashes-1].Add(stableWindow)
	late := 0
	for _, r := range log.all() {
		if strings.HasPrefix(r.attempt, "poisoned") && sentAt[r.attempt].After(known) {
			late++
		}
	}
	s.note("%d crashes; %d requests with the part reached engines, sent over %v after the fifth crash", len(crashes), late, stableWindow)
	if late > allowedAfter {
		return fmt.Sprintf("%d requests with a part that crashes workers reached them, sent over %v after the fifth crash, more than %d", late, stableWindow, allowedAfter), nil
	}
	return "", nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// valueBytes is ValueBytes, the largest value that the store holds.
	valueBytes = 1 << 20
	// configApply is ConfigApplyMs.
	configApply = 2 * time.Second
	bigNodes    = 6
	// smallKeys and bigKeys are the numbers of API keys in the two configurations.
	smallKeys = 100
	bigKeys   = 43000
	// longAfter is how long after the last request the record shows which machines are ready.
	longAfter = 20 * time.Second
)

// randomKeys returns API keys like those of the pages: 20 letters and digits.
func randomKeys(count int) []string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	random := rand.New(rand.NewPCG(1, 2))
	keys := make([]string, count)
	for i := range keys {
		var b strings.Builder
		for range 20 {
			b.WriteByte(letters[random.IntN(len(letters))])
		}
		keys[i] = b.String()
	}
	return keys
}

// playBigConfig changes a configuration that is nearly as large as the store's values may
// be, and checks that no machine handles requests by the old version later than allowed.
func playBigConfig(s *scene) (string, error) {
	count := bigKeys
	if !s.trouble {
		count = smallKeys
	}
	few, keys := append(randomKeys(smallKeys), apiKey), append(randomKeys(count), apiKey)
	routes := []route{
		{name: "lookup", kind: "safe", service: serviceName, timeout: 800 * time.Millisecond, attempts: 2},
		{name: "dropped", kind: "safe", service: serviceName, timeout: 800 * time.Millisecond, attempts: 2},
	}
	after := []route{routes[0], {name: "added", kind: "safe", service: serviceName, timeout: 800 * time.Millisecond, attempts: 2}}
	services := []map[string]any{application(serviceName)}
	first, second := configuration(1, routes, services, few), configuration(4, after, services, keys)
	if len(second) > valueBytes {
		return "", fmt.Errorf("the configuration has %d bytes", len(second))
	}
	st, nodes, log, err := s.deploy(bigNodes, first)
	if err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(stableWindow + time.Second)
	for _, n := range nodes {
		s.note("%s before the change: %v", n.fields.name, callOnce(n.fields.front, http.MethodGet, "/dropped/0", "before-"+n.fields.name, apiKey, "", time.Second))
	}
	st.set("op/config", second)
	acknowledged := time.Now()
	s.note("a configuration of %d bytes is acknowledged", len(second))
	var mu sync.Mutex
	late := map[string]int{}
	sent := map[string]time.Duration{}
	var done sync.WaitGroup
	for _, n := range nodes {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := 0; time.Since(acknowledged) < 6*time.Second; k++ {
				at := time.Since(acknowledged)
				attempt := fmt.Sprintf("%s-%d", n.fields.name, k)
				mu.Lock()
				sent[attempt] = at
				mu.Unlock()
				a := callOnce(n.fields.front, http.MethodGet, "/dropped/1", attempt, apiKey, "", time.Second)
				b := callOnce(n.fields.front, http.MethodGet, "/added/1", attempt+"-added", apiKey, "", time.Second)
				s.note("%s sent %v after it: dropped route %d, added route %d", n.fields.name, at.Round(time.Millisecond), a.status, b.status)
				mu.Lock()
				if at > configApply && (a.status == http.StatusOK || b.status == http.StatusNotFound) {
					late[n.fields.name]++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	done.Wait()
	time.Sleep(longAfter)
	for _, n := range nodes {
		s.note("%s %v after the acknowledgement: ready %t", n.fields.name, time.Since(acknowledged).Round(time.Second), n.ready())
	}
	runs := 0
	for _, r := range log.all() {
		if strings.HasPrefix(r.path, "/dropped/") && sent[r.attempt] > configApply {
			runs++
		}
	}
	s.note("requests that were handled by the old version, by machine: %v; runs on the dropped route: %d", late, runs)
	if len(late) > 0 || runs > 0 {
		return fmt.Sprintf("%d machines handled requests by the old version over %v after the acknowledgement of the new one; %d of these ran on a dropped route", len(late), configApply, runs), nil
	}
	return "", nil
}

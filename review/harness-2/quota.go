package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// quotaRate is the tenant's RatePerS and Burst, in tokens. The others are
	// QuotaWindowS, QuotaOvershoot and QuotaSlack.
	quotaRate      = 50000
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 140000
	// requestTokens is what each request counts, answerTokens what of it its answer may have.
	requestTokens = 6000
	answerTokens  = 48
	quotaTime     = 30 * time.Second
	// hotPause is the pause between two requests of a tenant that sends many times its quota,
	// usualPause the one of a tenant that doesn't.
	hotPause, usualPause = 15 * time.Millisecond, 200 * time.Millisecond
)

// playQuota lets one tenant send many times its quota to several model services, two or
// SERVICES of the environment, and checks what they run of it in all.
func playQuota(s *scene) (string, error) {
	count := 2
	if text := os.Getenv("SERVICES"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	st, log := newStore(), &runLog{}
	l, err := listen()
	if err != nil {
		return "", err
	}
	go st.serve(l)
	var services []map[string]any
	var routes []route
	for i := range count {
		name := fmt.Sprintf("pool-%d", i+1)
		services = append(services, modelService(name, engineSlots))
		routes = append(routes, route{name: fmt.Sprintf("plan%d", i+1), kind: "streaming", service: name, timeout: 5 * time.Second, attempts: 1})
		for k := range 4 {
			e := &engine{id: fmt.Sprintf("e-%d-%d", i+1, k+1), log: log, store: st, service: name, slots: engineSlots}
			if err := e.start(); err != nil {
				return "", err
			}
		}
	}
	st.set("op/config", configurationWithQuota(1, routes, services, []string{apiKey}, quotaRate))
	nodes, err := s.newNodes(3, l.Addr().String())
	if err != nil {
		return "", err
	}
	if err := startAll(nodes); err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(quotaWindow + 2*time.Second)
	pause := hotPause
	if !s.trouble {
		pause = usualPause
	}
	var done sync.WaitGroup
	for k, end := 0, time.Now().Add(quotaTime); time.Now().Before(end); k++ {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := dial(nodes[k%len(nodes)].fields.front)
			if err != nil {
				return
			}
			defer c.close()
			_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
			prefix := fmt.Sprintf("%08x:%d", k, requestTokens-answerTokens)
			if sendStreamRequest(c.conn, fmt.Sprintf("/plan%d/1", k%count+1), fmt.Sprintf("q-%d", k), 5*time.Second, prefix, requestTokens-answerTokens) == nil {
				_ = c.read(http.MethodPost)
			}
		}()
		time.Sleep(pause)
	}
	done.Wait()
	most := requestTokens * mostInWindow(log.all(), quotaWindow)
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOvershoot)) + quotaSlack
	s.note("most tokens that ran in %v: %d, allowed %d, with %d services", quotaWindow, most, allowed, count)
	if most > allowed {
		return fmt.Sprintf("%d tokens of a tenant ran in %v, allowed are %d", most, quotaWindow, allowed), nil
	}
	return "", nil
}

// mostInWindow returns the largest number of runs that began in a window of the given length.
func mostInWindow(runs []run, window time.Duration) int {
	most := 0
	for first, i := 0, 0; i < len(runs); i++ {
		for runs[i].at.Sub(runs[first].at) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

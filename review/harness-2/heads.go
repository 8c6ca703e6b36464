package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	headNodes = 2
	// headCrowd is the number of clients at each machine, and headBytes what each sends of
	// a head. It is below MaxHeaderBytes.
	headCrowd = 1400
	headBytes = 16000
	crowdTime = 40 * time.Second
	// allowedEnds is how often the process of a machine may end by itself.
	allowedEnds = 2
	// restartDelay is how long after its end the platform starts a process again, and
	// memoryCheck how often it looks at the memory.
	restartDelay = time.Second
	memoryCheck  = 50 * time.Millisecond
	// spareDescriptors is what this process needs beside the connections of the crowd.
	spareDescriptors = 200
)

// checkDescriptors returns an error unless this process may open so many descriptors.
func checkDescriptors(count int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < uint64(count) {
		return fmt.Errorf("%d descriptors are allowed, the case needs %d", limit.Cur, count)
	}
	return nil
}

// shortFields returns header lines with short names, all of them different.
func shortFields(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteByte(letters[i%26])
		b.WriteByte(letters[i/26%len(letters)])
		b.WriteByte(letters[i/26/len(letters)%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// crowdClient sends the beginning of a head and stays until the connection is closed, again
// and again.
func crowdClient(address, text string, end time.Time, done *sync.WaitGroup) {
	defer done.Done()
	for time.Now().Before(end) {
		if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = conn.SetDeadline(end)
			if _, err := io.WriteString(conn, text); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
			conn.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// keeper does for one machine what the platform does: it kills a process that exceeds the
// machine's memory, and starts one again that has ended.
type keeper struct {
	scene *scene
	node  *node
	// ends counts how often the process ended, peak is the most memory that was seen.
	ends, peak int
}

// run keeps the machine until end, or until the process has ended too often.
func (k *keeper) run(end time.Time, done *sync.WaitGroup) {
	defer done.Done()
	n := k.node
	for time.Now().Before(end) && k.ends <= allowedEnds {
		time.Sleep(memoryCheck)
		now, _ := n.memoryMiB()
		k.peak = max(k.peak, now)
		if now > n.fields.memoryMb {
			k.scene.note("%s uses %d MiB of %d with %d descriptors: the platform kills it", n.fields.name, now, n.fields.memoryMb, n.descriptors())
			n.kill()
		}
		if n.endStatus() == "" {
			continue
		}
		k.ends++
		k.scene.note("%s ended for the %d. time: %s", n.fields.name, k.ends, n.endStatus())
		time.Sleep(restartDelay)
		n.fields.firstStart = false
		if err := n.start(); err != nil {
			k.scene.note("%s: %v", n.fields.name, err)
		}
	}
}

// playHeads lets a crowd of clients send heads that don't end, and checks that the processes
// don't end.
func playHeads(s *scene) (string, error) {
	if err := checkDescriptors(headNodes*headCrowd + spareDescriptors); err != nil {
		return "", err
	}
	nodes, _, err := s.desk(headNodes)
	if err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(stableWindow)
	text := headOf(http.MethodPost, "/lookup/1", "crowd", apiKey, 9*time.Second)
	if s.trouble {
		text += shortFields(headBytes - len(text))
	} else {
		text += "Content-Length: 0\r\n\r\n"
	}
	s.note("%d clients at each machine send %d bytes each", headCrowd, len(text))
	end := time.Now().Add(crowdTime)
	var crowd, kept sync.WaitGroup
	var keepers []*keeper
	for _, n := range nodes {
		k := &keeper{scene: s, node: n}
		keepers = append(keepers, k)
		kept.Add(1)
		go k.run(end, &kept)
		for range headCrowd {
			crowd.Add(1)
			go crowdClient(n.fields.front, text, end, &crowd)
		}
	}
	kept.Wait()
	tooOften := 0
	for _, k := range keepers {
		s.note("%s ended %d times, most memory %d MiB of %d", k.node.fields.name, k.ends, k.peak, k.node.fields.memoryMb)
		if k.ends > allowedEnds {
			tooOften++
		}
	}
	if tooOften == len(nodes) {
		return fmt.Sprintf("on each of %d machines the process ended over %d times, because it exceeded the machine's memory", tooOften, allowedEnds), nil
	}
	crowd.Wait()
	for _, n := range nodes {
		a := callOnce(n.fields.front, http.MethodGet, "/lookup/2", "after-"+n.fields.name, apiKey, "", 5*time.Second)
		s.note("%s, an ordinary request afterwards: %v", n.fields.name, a)
	}
	return "", nil
}

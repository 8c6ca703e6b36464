package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// tick is the unit of processor time in /proc.
const tick = 10 * time.Millisecond

// usage is what the kernel counts for one process.
type usage struct {
	cpu time.Duration
	// resident is in bytes.
	resident int64
}

func (u usage) minus(earlier usage) usage {
	return usage{cpu: u.cpu - earlier.cpu, resident: u.resident - earlier.resident}
}

func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read a process's times")
	}
	// The name in parentheses may hold spaces; what follows it does not.
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	const userField, systemField, leastFields = 11, 12, 13
	if len(fields) < leastFields {
		return usage{}, errors.New("a process's times have another form here")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "read a process's times")
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "read a process's times")
	}
	resident, err := residentOf(pid)
	return usage{cpu: time.Duration(user+system) * tick, resident: resident}, err
}

func residentOf(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read a process's memory")
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, errors.Wrap(err, "read a process's memory")
		}
	}
	return 0, errors.New("a process's memory is not told here")
}

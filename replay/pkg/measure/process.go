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

// tick is the unit of processor time in /proc/PID/stat.
const tick = 10 * time.Millisecond

// usage is the processor time and memory of one process, as the kernel reports
// them.
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
		return usage{}, errors.Wrap(err, "read the processor time of a process")
	}
	// The process name is in parentheses and may contain spaces. The fields after
	// it do not, so they can be split at spaces.
	_, rest, _ := bytes.Cut(stat, []byte(") "))
	fields := strings.Fields(string(rest))
	const userField, systemField, minFields = 11, 12, 13
	if len(fields) < minFields {
		return usage{}, errors.New("/proc/PID/stat has fewer fields than expected")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "parse the processor time of a process")
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return usage{}, errors.Wrap(err, "parse the processor time of a process")
	}
	resident, err := residentOf(pid)
	return usage{cpu: time.Duration(user+system) * tick, resident: resident}, err
}

func residentOf(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of a process")
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, errors.Wrap(err, "parse VmRSS")
		}
	}
	return 0, errors.New("/proc/PID/status has no VmRSS line")
}

package commands

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// logLine is one line of a host's log. Its inputs are all fields of the line.
type logLine struct {
	at      time.Time
	host    string
	message string
	inputs  map[string]any
}

// identities are the log fields that identify a request.
var identities = []string{"request", "caller-id"}

// hidden are the log fields that are not listed after the message.
var hidden = []string{"ts", "host", "msg", "level", "request", "caller-id", "attempts"}

// readLogs returns the lines of hosts' logs that belong to a request, ordered by
// time. It skips lines that are not JSON, as other programs may write to the same
// log.
func readLogs(files []string, id string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read a host's log")
		}
		found, err := linesOf(file, id)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

func linesOf(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		// Log collectors may prefix each line with text of their own.
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
			continue
		}
		if slices.ContainsFunc(identities, func(name string) bool { return fields[name] == id }) {
			lines = append(lines, lineOf(fields))
		}
	}
	return lines, scanner.Err()
}

func lineOf(fields map[string]any) logLine {
	l := logLine{inputs: fields}
	if seconds, isNumber := fields["ts"].(float64); isNumber {
		whole, part := math.Modf(seconds)
		l.at = time.Unix(int64(whole), int64(part*float64(time.Second))).UTC()
	}
	l.host, _ = fields["host"].(string)
	l.message, _ = fields["msg"].(string)
	return l
}

// sentence formats the line for an on-call engineer: time, host, message, fields.
func (l logLine) sentence() string {
	var inputs []string
	for _, name := range slices.SortedFunc(maps.Keys(l.inputs), cmp.Compare[string]) {
		if value := l.inputs[name]; !slices.Contains(hidden, name) && value != "" {
			inputs = append(inputs, fmt.Sprintf("%s %v", name, value))
		}
	}
	return fmt.Sprintf("%s %s: %s (%s)", l.at.Format("15:04:05.000"), l.host, l.message, strings.Join(inputs, ", "))
}

// tellLogs prints the log lines that belong to a request.
func tellLogs(out io.Writer, files []string, id string) error {
	lines, err := readLogs(files, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NotRecordedError{ID: id}
	}
	for _, line := range lines {
		fmt.Fprintln(out, line.sentence())
	}
	return nil
}

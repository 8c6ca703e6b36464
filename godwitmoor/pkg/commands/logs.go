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

// logLine is one line of a host's log. Its fields are all fields of the JSON object,
// those in at, host and message included.
type logLine struct {
	at      time.Time
	host    string
	message string
	fields  map[string]any
}

// requestFields are the log fields that identify a request.
var requestFields = []string{"request", "caller-id"}

// omittedFields are the log fields that are not listed after the message.
var omittedFields = []string{"ts", "host", "msg", "level", "request", "caller-id", "attempts"}

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
		found, err := matchingLines(file, id)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

func matchingLines(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		if slices.ContainsFunc(requestFields, func(name string) bool { return fields[name] == id }) {
			lines = append(lines, newLogLine(fields))
		}
	}
	return lines, scanner.Err()
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{fields: fields}
	if seconds, isNumber := fields["ts"].(float64); isNumber {
		whole, fraction := math.Modf(seconds)
		l.at = time.Unix(int64(whole), int64(fraction*float64(time.Second))).UTC()
	}
	l.host, _ = fields["host"].(string)
	l.message, _ = fields["msg"].(string)
	return l
}

// describe formats the line for an on-call engineer: time, host, message, fields.
func (l logLine) describe() string {
	var shown []string
	for _, name := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare[string]) {
		if value := l.fields[name]; !slices.Contains(omittedFields, name) && value != "" {
			shown = append(shown, fmt.Sprintf("%s %v", name, value))
		}
	}
	return fmt.Sprintf("%s %s: %s (%s)", l.at.Format("15:04:05.000"), l.host, l.message, strings.Join(shown, ", "))
}

// printLogs prints the log lines that belong to a request.
func printLogs(out io.Writer, files []string, id string) error {
	lines, err := readLogs(files, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NotRecordedError{ID: id}
	}
	for _, line := range lines {
		fmt.Fprintln(out, line.describe())
	}
	return nil
}

package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestExplainMergesTheLogsOfAllHosts(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, second := filepath.Join(folder, "entry-1.log"), filepath.Join(folder, "entry-2.log")
	is.NoErr(os.WriteFile(first, []byte(`{"level":"info","ts":1000.25,"msg":"request finished","host":"entry-1","request":"r-1","caller-id":"c-1","outcome":"unknown","reason":"answer-lost","runs":1}
{"level":"info","ts":1000.5,"msg":"request finished","host":"entry-1","request":"r-2","caller-id":"c-2","outcome":"answered"}
`), 0o600))
	is.NoErr(os.WriteFile(second, []byte(`something else
  12.5 entry-2 {"level":"info","ts":1000.125,"msg":"attempt failed","host":"entry-2","request":"r-1","caller-id":"c-1","endpoint":"i-1","may-have-run":true}
`), 0o600))
	var out strings.Builder
	is.NoErr(printLogs(&out, []string{first, second}, "c-1"))
	is.Equal(out.String(), `00:16:40.125 entry-2: attempt failed (endpoint i-1, may-have-run true)
00:16:40.250 entry-1: request finished (outcome unknown, reason answer-lost, runs 1)
`)
	var unknown *NotRecordedError
	is.True(errors.As(printLogs(&out, []string{first}, "c-9"), &unknown))
	is.True(printLogs(&out, []string{filepath.Join(folder, "missing.log")}, "c-1") != nil)
}

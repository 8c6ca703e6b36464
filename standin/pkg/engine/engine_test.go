package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	text "godwitmoor.example/standin/pkg/answer"
	"godwitmoor.example/standin/pkg/engine"
	"godwitmoor.example/standin/pkg/runlog"
)

const (
	prompt = "which allowance?"
	tokens = 6
)

// serveEngine starts an engine with a real socket and returns its URL.
func serveEngine(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	log, err := runlog.Open(filepath.Join(t.TempDir(), "runs.jsonl"), "endpoint")
	is.NoErr(err)
	e := engine.New(engine.Config{Prefill: 1e6, Step: time.Millisecond, CacheTokens: 1000}, log)
	e.Start(t.Context())
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return s.URL
}

// answer is what an engine returned. err is the error that ended its body, if any.
type answer struct {
	status      int
	offset      string
	contentType string
	body        string
	err         error
}

// complete requests the answer to prompt from offset on.
func complete(t *testing.T, url string, offset int) answer {
	t.Helper()
	is := is.New(t)
	body := strings.NewReader(fmt.Sprintf(`{"prompt": %q, "max_tokens": %d}`, prompt, tokens))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", body)
	is.NoErr(err)
	if offset > 0 {
		request.Header.Set("Resume-Offset", strconv.Itoa(offset))
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, offset: response.Header.Get("Resume-Offset"),
		contentType: response.Header.Get("Content-Type"), body: string(data), err: err,
	}
}

func TestAnswerStatesTheOffsetAtWhichItBegins(t *testing.T) {
	is := is.New(t)
	url := serveEngine(t)
	whole := complete(t, url, 0)
	is.NoErr(whole.err)
	is.Equal(whole.offset, "")
	is.Equal(strings.Count(whole.body, "data: "), 7)
	rest := complete(t, url, 4)
	is.NoErr(rest.err)
	is.Equal(rest.offset, "4")
	is.Equal(strings.Count(rest.body, "data: "), 3)
	is.True(strings.Contains(rest.body, `"index":4,`))
}

func TestOffsetAtTheEndDoesNotRepeatTheLastToken(t *testing.T) {
	is := is.New(t)
	url := serveEngine(t)
	for _, offset := range []int{6, 7} {
		rest := complete(t, url, offset)
		is.NoErr(rest.err)
		is.Equal(rest.offset, "6")
		is.Equal(rest.body, "data: [DONE]\n\n")
	}
}

func injectFaults(t *testing.T, url, faults string) int {
	t.Helper()
	is := is.New(t)
	response, err := http.Post(url+"/faults", "application/json", strings.NewReader(faults))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return response.StatusCode
}

func TestResumeFaultsAnswerOnlyResumedRequestsWrongly(t *testing.T) {
	is := is.New(t)
	url := serveEngine(t)
	whole := complete(t, url, 0)
	for fault, wrong := range map[engine.ResumeFault]answer{
		engine.ResumeError: {status: http.StatusInternalServerError, contentType: "text/plain; charset=utf-8", body: "the run failed"},
		engine.ResumeText:  {status: http.StatusOK, contentType: "text/plain; charset=utf-8", body: text.Text(prompt, tokens)},
	} {
		is.Equal(injectFaults(t, url, fmt.Sprintf(`{"resume": %q}`, fault)), http.StatusOK)
		is.Equal(complete(t, url, 4), wrong)
		is.Equal(strings.Count(complete(t, url, 0).body, "data: "), strings.Count(whole.body, "data: "))
	}
	is.Equal(injectFaults(t, url, `{"resume": "start", "cut-after": 2}`), http.StatusOK)
	start := complete(t, url, 4)
	is.Equal(start.offset, "")
	is.Equal(strings.Count(start.body, "data: "), 7)
	is.Equal(injectFaults(t, url, `{"resume": "end"}`), http.StatusOK)
	end := complete(t, url, 4)
	is.NoErr(end.err)
	is.Equal(strings.Count(end.body, "data: "), 2)
	is.True(!strings.Contains(end.body, "[DONE]"))
	is.Equal(injectFaults(t, url, `{"resume": "none"}`), http.StatusBadRequest)
}

func TestEndInEventEndsTheBodyRegularly(t *testing.T) {
	is := is.New(t)
	url := serveEngine(t)
	is.Equal(injectFaults(t, url, `{"cut-after": 2, "end-in-event": true}`), http.StatusOK)
	cut := complete(t, url, 0)
	is.NoErr(cut.err)
	is.Equal(strings.Count(cut.body, "data: "), 3)
	is.True(strings.HasSuffix(cut.body, `data: {"index"`))
	is.Equal(injectFaults(t, url, `{"cut-after": 2}`), http.StatusOK)
	is.True(complete(t, url, 0).err != nil)
}

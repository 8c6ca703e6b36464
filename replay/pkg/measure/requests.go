package measure

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/replay/pkg/trace"
)

type completionBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func completionRequest(url, prompt string, tokens int) (*http.Request, error) {
	body, err := json.Marshal(completionBody{Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return nil, errors.Wrap(err, "encode a completion request")
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create a completion request")
	}
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	return request, nil
}

func readStock(client *http.Client, listen string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/orders/stock/7", nil)
	if err != nil {
		return err
	}
	return send(client, request)
}

func sendOrder(client *http.Client, listen string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/orders/confirmations", strings.NewReader("twelve trays"))
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", trace.NewKey())
	return send(client, request)
}

// send sends a request of the first office and reads the whole answer. Any status
// but 200 is an error.
func send(client *http.Client, request *http.Request) error {
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("%s %s returned status %d", request.Method, request.URL.Path, response.StatusCode)
	}
	return err
}

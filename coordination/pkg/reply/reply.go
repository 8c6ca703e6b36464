// Package reply bounds the replies of the services that hosts and the operators'
// command call, so that a reply without an end costs neither memory nor time.
//
// # Usage
//
//	client := &http.Client{Transport: reply.NewTransport(), Timeout: timeout}
//	response, err := client.Do(request)
//	…
//	data, err := reply.Read(response.Body, maxReplyBytes)
package reply

import (
	"fmt"
	"io"
	"net/http"
)

// MaxHeaderBytes bounds the header of a response, interim responses included. The
// services send less than 1 KiB, and a host with many calls in progress has room
// for this much for each.
const MaxHeaderBytes = 64 << 10

// TooLargeError reports a reply that is larger than the limit for its kind.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("reply exceeds the limit of %d bytes; check that the address is that of the intended service", e.Limit)
}

// NewTransport returns a transport with the settings of http.DefaultTransport that
// reads at most MaxHeaderBytes of response header.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxHeaderBytes
	return transport
}

// Read reads a body to its end. A body of more than limit bytes is a
// *TooLargeError, because its first part may look like a complete reply.
func Read(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, &TooLargeError{Limit: limit}
	}
	return data, nil
}

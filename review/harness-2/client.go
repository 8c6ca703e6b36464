package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got. closes is set if the connection ends with it.
type answer struct {
	status            int
	stamp, body, echo string
	closes            bool
	err               error
}

// headOf returns the head of a request, without the empty line that ends it.
func headOf(method, path, attempt, key string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		method, path, hostName, attempt, deadline.Milliseconds(), key)
}

// client is a client that keeps a connection open for many requests.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// call sends a request and reads its answer.
func (c *client) call(method, path, attempt, key, body string, deadline time.Duration) answer {
	text := headOf(method, path, attempt, key, deadline)
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	return c.read(method)
}

// read reads an answer.
func (c *client) read(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, stamp: response.Header.Get("Godwitmoor-Server-Stamp"), body: string(data), err: err,
		closes: response.Close, echo: response.Header.Get("Godwitmoor-Attempt-Id"),
	}
}

func (c *client) close() { _ = c.conn.Close() }

// callOnce sends a request on a connection of its own.
func callOnce(address, method, path, attempt, key, body string, deadline time.Duration) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.call(method, path, attempt, key, body, deadline)
}

// String describes the answer in a line.
func (a answer) String() string {
	body, _, _ := strings.Cut(a.body, "\n")
	return fmt.Sprintf("status %d stamp %q echo %q body %.60q error %v", a.status, a.stamp, a.echo, body, a.err)
}

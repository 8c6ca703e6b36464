package app_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// headBytes is the length of a head within the limit of the platform.
	headBytes = 16000
	// trailerBytes is the length of fields after a body that a server still reads.
	trailerBytes = 3900
	// manyClients is more clients than manyDescriptors lets connect.
	manyClients = 400
	// In a crowd of all forms, each has so much fewer clients, but some.
	mixedDivisor    = 8
	minMixedClients = 8
	// Of slow bodies, slowPieceBytes come in each slowPause, above the least rate.
	slowBodyBytes  = 64 << 10
	slowPieceBytes = 1 << 10
	slowPause      = 500 * time.Millisecond
	// slowCrowdTime is shorter than slow bodies are.
	slowCrowdTime = 20 * time.Second
)

// shortFields returns header lines with different short names.
func shortFields(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteByte(letters[i%26])
		b.WriteByte(letters[i/26%26])
		b.WriteByte(letters[i/26/26%26])
		b.WriteString(":\r\n")
	}
	return b.String()
}

// sendPieces writes data in pieces, with a pause after each.
func sendPieces(w io.Writer, data []byte, piece int, pause time.Duration) error {
	for len(data) > 0 {
		n, err := w.Write(data[:min(len(data), piece)])
		if err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(pause)
	}
	return nil
}

// slowBodies hold their connections for as long as the host lets them.
func slowBodies() misbehaviour {
	return misbehaviour{name: "slow bodies", clients: manyClients, again: true, send: func(w io.Writer) error {
		head := requestLines(fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodyBytes))
		if _, err := io.WriteString(w, head); err != nil {
			return err
		}
		return sendPieces(w, bytes.Repeat([]byte("x"), slowBodyBytes), slowPieceBytes, slowPause)
	}}
}

// manyFieldForms are forms that send little and make the host hold much, or that hold
// connections with nothing.
func manyFieldForms() []misbehaviour {
	fields := shortFields(headBytes)
	trailers := "0\r\n" + shortFields(trailerBytes)
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	byteChunk := "1\r\nx\r\n"
	extension := "1;" + strings.Repeat("x", 4000) + "\r\nx\r\n"
	body := bytes.Repeat([]byte("x"), testBodyBytes-missingBytes)
	text := func(s string) func(io.Writer) error {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, s)
			return err
		}
	}
	within := func(s string) string { return s[:headBytes-len(requestLines(""))] }
	return []misbehaviour{
		{name: "heads over the limit with many fields", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return sendAll(w, requestLines(""), []byte(fields), 4*headBytes)
		}},
		{name: "heads without end with many fields", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return text(requestLines(within(fields)))(w)
		}},
		{name: "heads without end piece by piece", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return sendPieces(w, []byte(requestLines(within(fields))), headBytes/20, 100*time.Millisecond)
		}},
		{name: "heads with many fields before bodies without end", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return text(requestLines(fields[:headBytes/6*6-600]) + "Content-Length: 64\r\n\r\nx")(w)
		}},
		{name: "requests with many fields one after another", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return sendAll(w, "", []byte(requestLines(fields[:headBytes/6*6-600])+"Content-Length: 0\r\n\r\n"), 50*headBytes)
		}},
		{name: "empty lines in single pieces", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return sendPieces(w, bytes.Repeat([]byte("\r\n"), 1<<10), 2, 10*time.Millisecond)
		}},
		{name: "bodies by length piece by piece", clients: 48, send: func(w io.Writer) error {
			if _, err := io.WriteString(w, requestLines(fmt.Sprintf("Content-Length: %d\r\n\r\n", testBodyBytes))); err != nil {
				return err
			}
			return sendPieces(w, body, 64<<10, 20*time.Millisecond)
		}},
		{name: "whole bodies by length", clients: 96, again: true, send: func(w io.Writer) error {
			return sendAll(w, requestLines(fmt.Sprintf("Content-Length: %d\r\n\r\n", testBodyBytes)), body, testBodyBytes)
		}},
		{name: "fields without end after chunks", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return text(requestLines(chunked) + byteChunk + trailers)(w)
		}},
		{name: "many fields after chunks", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return text(requestLines(chunked) + byteChunk + trailers + "\r\n")(w)
		}},
		{name: "chunks with long extensions", clients: manyClients, descriptors: manyDescriptors, again: true, send: func(w io.Writer) error {
			return sendAll(w, requestLines(chunked), []byte(extension), 3*len(extension))
		}},
		{name: "connections that send nothing", clients: manyClients, again: true, send: func(io.Writer) error { return nil }},
	}
}

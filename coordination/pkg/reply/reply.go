// Package reply bounds the replies of the services that hosts and the operators'
// command call, so that a reply without an end costs neither memory nor time.
package reply

// MaxHeaderBytes bounds the header of a response, interim responses included. The
// services send less than 1 KiB, and a host with many calls in progress has room
// for this much for each.
const MaxHeaderBytes = 64 << 10

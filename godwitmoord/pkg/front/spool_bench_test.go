package front

import (
	"io"
	"net"
	"testing"
	"time"

	"godwitmoor.example/godwitmoord/pkg/budget"
)

// BenchmarkWriteToACaller measures what a write of one event costs with and without the
// spool, for a caller that reads at once.
func BenchmarkWriteToACaller(b *testing.B) {
	for _, spools := range []bool{false, true} {
		name := "plain"
		if spools {
			name = "spooling"
		}
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer inner.Close()
			l := &boundedListener{Listener: inner, account: budget.New(64 << 20), spools: spools, unreadTime: time.Second, fullTime: time.Second, open: map[*callerConn]struct{}{}}
			caller, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer caller.Close()
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			conn, err := l.Accept()
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			event := make([]byte, 330)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package peer_test

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

func startService(t *testing.T, name string) (*peer.Service, *common.Common) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Self:     host.Identity{Name: name, Incarnation: 1},
		Settings: settings.Settings{PeerListen: address},
	}
	s := peer.New(c)
	is.NoErr(s.Start(t.Context()))
	t.Cleanup(func() { is.NoErr(s.Stop(context.Background())) })
	return s, c
}

func TestCallReachesTheNamedServiceAndComesBack(t *testing.T) {
	is := is.New(t)
	server, c := startService(t, "entry-1")
	client, _ := startService(t, "entry-2")
	server.Handle("echo", func(from host.Identity, body []byte) ([]byte, error) {
		return append([]byte(from.Name+": "), body...), nil
	})
	reply, err := client.Call(t.Context(), c.Settings.PeerListen, "echo", []byte("hello"))
	is.NoErr(err)
	is.Equal(string(reply), "entry-2: hello")
	_, err = client.Call(t.Context(), c.Settings.PeerListen, "nobody", nil)
	refused := errors.HasType(err, (*peer.RefusedError)(nil))
	is.True(refused)
}

func TestCallToUnresponsiveHostTimesOut(t *testing.T) {
	is := is.New(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
	is.NoErr(err)
	defer unresponsive.Close()
	client, _ := startService(t, "entry-2")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Call(ctx, unresponsive.Addr().String(), "echo", nil)
	timedOut := errors.HasType(err, (*peer.TimeoutError)(nil))
	is.True(timedOut)
}

func TestBadFramesChangeNothing(t *testing.T) {
	server, c := startService(t, "entry-1")
	client, _ := startService(t, "entry-2")
	server.Handle("echo", func(_ host.Identity, body []byte) ([]byte, error) { return body, nil })
	frame := func(data []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
	}
	envelope := func(version int) []byte {
		body, err := cbor.Marshal(map[int]any{1: version, 2: "echo", 3: "entry-9", 4: 1})
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(map[int]any{1: "Host.Call", 2: 0, 4: body})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	cases := []struct {
		name string
		sent []byte
		// counted is the counter that must have increased; empty if the host only
		// closes the connection.
		counted string
	}{
		{"oversized", binary.BigEndian.AppendUint32(nil, 1<<30), ""},
		{"truncated", frame(envelope(1))[:20], ""},
		{"no frame", frame([]byte("GET / HTTP/1.1")), ""},
		{"wrong version", frame(envelope(99)), "peer.refused.version"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", c.Settings.PeerListen)
			is.NoErr(err)
			_, err = conn.Write(k.sent)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			// The host replies with a refusal or not at all, and closes the connection.
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			buffer := make([]byte, 4096)
			for err == nil {
				_, err = conn.Read(buffer)
			}
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
			if k.counted != "" {
				is.True(metrics.GetOrRegisterCounter(k.counted, c.Metrics).Count() > 0)
			}
			reply, err := client.Call(t.Context(), c.Settings.PeerListen, "echo", []byte("still here"))
			is.NoErr(err)
			is.Equal(string(reply), "still here")
		})
	}
}

package peer

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// sendBytes connects to a listener and sends bytes. The connection is closed when the test ends.
func sendBytes(t *testing.T, listener net.Listener, raw []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a message of a peer of which nothing but its length comes, for which gob allocated
// that much memory, up to 10 MB, on each connection.
func TestStatedMessageLengthAllocatesNothing(t *testing.T) {
	const maxBytes = 1 << 20
	listener := listen(t)
	go Serve(t.Context(), listener, func(core.Input) {}, nil)
	for name, header := range map[string]string{
		"a gigabyte":           "\xfc\x40\x00\x00\x00",
		"8 MB":                 "\xfd\x80\x00\x00",
		"too large for 64 bit": "\xf0" + string(make([]byte, 16)),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		conn := sendBytes(t, listener, []byte(header))
		conn.SetReadDeadline(time.Now().Add(receiveTimeout))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v, want that the connection is closed", name, err)
		}
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxBytes {
			t.Errorf("%s: %d bytes are allocated, want at most %d", name, allocated, maxBytes)
		}
	}
}

// Messages of all sizes up to the limit arrive, one after the other on a connection.
func TestGossipOfAllSizes(t *testing.T) {
	listener := listen(t)
	received := make(chan *wire.Gossip, 1)
	go Serve(t.Context(), listener, func(input core.Input) { received <- input.(core.GossipReceived).Message }, nil)
	link := Dial(t.Context(), listener.Addr().String(), func() {})
	for _, machines := range []int{0, 1, 10, 500, 6_000, 40_000, 1} {
		message := &wire.Gossip{From: "n0"}
		for i := range machines {
			message.Hosts = append(message.Hosts, wire.MachineInfo{Name: wire.TaskName("vm-000000000000000000000000", i), Rig: 100, Zone: 1, Flags: 3, Images: []int{100, 200, 300, 400, 500, 600}})
		}
		link.SendGossip(message)
		if got := receive(t, received, "gossip"); len(got.Hosts) != machines {
			t.Errorf("%d machines arrived of %d", len(got.Hosts), machines)
		}
	}
}

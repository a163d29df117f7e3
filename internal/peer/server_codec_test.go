package peer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"runtime"
	"testing"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// gossipStatingEntries returns a call of Gossip whose map Seen has one entry and states 2^24.
func gossipStatingEntries(t *testing.T) []byte {
	t.Helper()
	var call bytes.Buffer
	encoder := gob.NewEncoder(&call)
	if err := encoder.Encode(&rpc.Request{ServiceMethod: methodGossip, Seq: 1}); err != nil {
		t.Fatal(err)
	}
	if err := encoder.Encode(&wire.Gossip{From: "n0", Seen: map[string]wire.SeenVersion{"versions": {}}}); err != nil {
		t.Fatal(err)
	}
	// The last message is the value: its length in a byte, then the value with the map's number of
	// entries, 1, before the first key.
	const entries, statedEntries = "\x01\x08versions", "\xfc\x01\x00\x00\x00\x08versions"
	raw := call.Bytes()
	at := bytes.LastIndex(raw, []byte(entries))
	length := len(raw) - lastMessageBytes(raw) - 1
	stated := append([]byte(nil), raw[:at]...)
	stated[length] += byte(len(statedEntries) - len(entries))
	return append(append(stated, statedEntries...), raw[at+len(entries):]...)
}

// lastMessageBytes returns the length of the last of several gob messages.
func lastMessageBytes(raw []byte) int {
	for {
		length, header := int(raw[0]), 1
		if size := -int(int8(raw[0])); size > 0 { // the negated number of bytes that follow
			length, header = 0, 1+size
			for _, digit := range raw[1:header] {
				length = length<<8 | int(digit)
			}
		}
		if raw = raw[header+length:]; len(raw) == 0 {
			return length
		}
	}
}

// Guards against a message of a peer that states a long map, for which the decoder allocated more
// memory than the machine has.
func TestStatedMapLengthAllocatesNothing(t *testing.T) {
	const maxBytes = 4 << 20 // far below the 16 MB that 2^24 entries of a byte would take
	listener := listen(t)
	received := make(chan *wire.Gossip, 1)
	go Serve(t.Context(), listener, func(input core.Input) { received <- input.(core.GossipReceived).Message }, nil)

	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	conn := sendBytes(t, listener, gossipStatingEntries(t))
	var response rpc.Response
	if err := gob.NewDecoder(conn).Decode(&response); err != nil || response.Error == "" {
		t.Errorf("answer %+v, %v, want an error of the call", response, err)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxBytes {
		t.Errorf("%d bytes are allocated for a map of one entry, want at most %d", allocated, maxBytes)
	}

	link := Dial(t.Context(), listener.Addr().String(), func() {})
	link.SendGossip(&wire.Gossip{From: "n1", Seen: map[string]wire.SeenVersion{"n0": {Life: "a", Ver: 3}}})
	if message := receive(t, received, "gossip"); message.From != "n1" || message.Seen["n0"].Ver != 3 {
		t.Errorf("received %+v", message)
	}
}

package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"micaport/internal/wire"
)

// serverCodec is the server's side of a connection. It encodes as net/rpc does by default, and keeps
// gob from allocating memory for as many map entries as a message states.
type serverCodec struct {
	conn    io.Closer
	decoder *gob.Decoder
	encoder *gob.Encoder
	encoded *bufio.Writer // buffers what encoder writes to the connection
}

// newServerCodec returns the codec of a connection, which it closes with the codec.
func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	encoded := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(encoded), encoded: encoded}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error { return c.decoder.Decode(request) }

// ReadRequestBody implements rpc.ServerCodec. gob creates a map that is nil with the size that the
// message states, but adds the entries to one that exists.
func (c *serverCodec) ReadRequestBody(body any) error {
	if gossip, isGossip := body.(*wire.Gossip); isGossip {
		gossip.Seen = map[string]wire.SeenVersion{}
	}
	return c.decoder.Decode(body)
}

// WriteResponse implements rpc.ServerCodec. A response that can't be encoded closes the connection,
// as the client would wait for the rest of it.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		return c.encoded.Flush()
	}
	if c.encoded.Flush() == nil {
		c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

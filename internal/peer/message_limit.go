package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
)

// maxMessageBytes is the largest gob message that is read from a connection. The largest ones list
// all machines, with some 60 bytes for each.
const maxMessageBytes = 4 << 20

// maxLengthBytes is the largest number of bytes in which gob encodes a length.
const maxLengthBytes = 8

// errMessageTooLarge is returned for a message that states more than maxMessageBytes.
var errMessageTooLarge = errors.New("message is too large")

// limitedConn is a connection whose reads fail before a gob message that states more than
// maxMessageBytes bytes: gob allocates memory for the stated length before it reads the message.
type limitedConn struct {
	net.Conn
	buffered  *bufio.Reader
	remaining uint64 // bytes of the current message that have not been read
}

// limitMessages returns a connection with limited messages. Only one goroutine may read from it.
func limitMessages(conn net.Conn) *limitedConn {
	return &limitedConn{Conn: conn, buffered: bufio.NewReader(conn)}
}

// Read reads at most the rest of the current message.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	if c.remaining == 0 {
		if err := c.startMessage(); err != nil {
			return 0, err
		}
	}
	if uint64(len(buffer)) > c.remaining {
		buffer = buffer[:c.remaining]
	}
	read, err := c.buffered.Read(buffer)
	c.remaining -= uint64(read)
	return read, err
}

// startMessage reads the length of the next message ahead. gob encodes a length below 128 as a byte,
// and any other as the negated number of its bytes, followed by them, the highest first.
func (c *limitedConn) startMessage() error {
	header, err := c.buffered.Peek(1)
	if err != nil {
		return err
	}
	length := uint64(header[0])
	if lengthBytes := -int(int8(header[0])); lengthBytes > maxLengthBytes {
		return fmt.Errorf("%w: %d bytes for its length", errMessageTooLarge, lengthBytes)
	} else if lengthBytes > 0 {
		if header, err = c.buffered.Peek(1 + lengthBytes); err != nil {
			return err
		}
		length = 0
		for _, digit := range header[1:] {
			length = length<<8 | uint64(digit)
		}
	}
	if length > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes", errMessageTooLarge, length)
	}
	c.remaining = uint64(len(header)) + length
	return nil
}

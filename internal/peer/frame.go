package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxFrameBytes bounds a message.
	MaxFrameBytes = 2 << 20
	// nonceBytes is the size of each side's nonce.
	nonceBytes = 32
	// handshakeTimeout bounds the exchange of nonces.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds the sending of a message.
	writeTimeout = 2 * time.Second
	// protocol separates session keys from other uses of the shared key.
	protocol = "poplarwheel peer 1"
)

// AuthenticationError reports a frame that no holder of the shared key sent in
// this session.
type AuthenticationError struct{ Remote string }

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("peer: frame from %s is not authentic", e.Remote)
}

// FrameSizeError reports a frame above MaxFrameBytes.
type FrameSizeError struct{ Size uint32 }

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer: frame has %d bytes, the limit is %d", e.Size, MaxFrameBytes)
}

// stream implements jsonrpc2.ObjectStream over authenticated frames: length,
// authentication code, JSON.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader

	readCode  codec
	writeMu   sync.Mutex
	writeCode codec
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

// codec authenticates the frames of one direction.
type codec struct {
	mac     hash.Hash
	counter uint64
}

func newCodec(sessionKey []byte, direction string) codec {
	derived := hmac.New(sha256.New, sessionKey)
	derived.Write([]byte(direction))
	return codec{mac: hmac.New(sha256.New, derived.Sum(nil))}
}

// sum returns the authentication code of the next frame.
func (c *codec) sum(payload []byte) []byte {
	var counter [8]byte
	binary.BigEndian.PutUint64(counter[:], c.counter)
	c.counter++
	c.mac.Reset()
	c.mac.Write(counter[:])
	c.mac.Write(payload)
	return c.mac.Sum(nil)
}

// newStream exchanges nonces over conn.
func newStream(conn net.Conn, sharedKey []byte, dialer bool) (*stream, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	var own, other [nonceBytes]byte
	if _, err := rand.Read(own[:]); err != nil {
		return nil, err
	}
	if _, err := conn.Write(own[:]); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	if _, err := io.ReadFull(reader, other[:]); err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	s := &stream{conn: conn, reader: reader}
	if dialer {
		key := sessionKey(sharedKey, own[:], other[:])
		s.writeCode, s.readCode = newCodec(key, "dialer"), newCodec(key, "listener")
	} else {
		key := sessionKey(sharedKey, other[:], own[:])
		s.writeCode, s.readCode = newCodec(key, "listener"), newCodec(key, "dialer")
	}
	return s, nil
}

func sessionKey(sharedKey, dialerNonce, listenerNonce []byte) []byte {
	mac := hmac.New(sha256.New, sharedKey)
	mac.Write([]byte(protocol))
	mac.Write(dialerNonce)
	mac.Write(listenerNonce)
	return mac.Sum(nil)
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object any) error {
	payload, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(payload) > MaxFrameBytes {
		return &FrameSizeError{Size: uint32(len(payload))}
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	frame := make([]byte, 4, 4+sha256.Size+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, s.writeCode.sum(payload)...)
	frame = append(frame, payload...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. A frame that isn't authentic ends
// the stream.
func (s *stream) ReadObject(object any) error {
	var head [4 + sha256.Size]byte
	if _, err := io.ReadFull(s.reader, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > MaxFrameBytes {
		return &FrameSizeError{Size: size}
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(s.reader, payload); err != nil {
		return err
	}
	if !hmac.Equal(head[4:], s.readCode.sum(payload)) {
		return &AuthenticationError{Remote: s.conn.RemoteAddr().String()}
	}
	return json.Unmarshal(payload, object)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

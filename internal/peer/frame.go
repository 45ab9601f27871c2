package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/poplarwheel/poplarwheel/internal/monotonic"
)

const (
	// MaxFrameBytes bounds a message.
	MaxFrameBytes = 2 << 20
	// lengthBytes is the size of a frame's length.
	lengthBytes = 4
	// headerBytes is the size of what precedes a frame's payload.
	headerBytes = lengthBytes + sha256.Size
	// writeTimeout bounds the sending of a message.
	writeTimeout = 2 * time.Second
	// frameTimeout bounds the time between the first and the last byte of a
	// frame.
	frameTimeout = 5 * time.Second
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

// Traffic counts messages and bytes. It is safe for concurrent use.
type Traffic struct {
	messagesSent, messagesReceived atomic.Uint64
	bytesSent, bytesReceived       atomic.Uint64
}

// TrafficCounts are the messages and bytes since the start, frame headers
// included.
type TrafficCounts struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
}

// Counts returns the counts since the start.
func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{
		MessagesSent:     t.messagesSent.Load(),
		MessagesReceived: t.messagesReceived.Load(),
		BytesSent:        t.bytesSent.Load(),
		BytesReceived:    t.bytesReceived.Load(),
	}
}

// Add returns the sum of two counts.
func (c TrafficCounts) Add(other TrafficCounts) TrafficCounts {
	c.MessagesSent += other.MessagesSent
	c.MessagesReceived += other.MessagesReceived
	c.BytesSent += other.BytesSent
	c.BytesReceived += other.BytesReceived
	return c
}

// stream implements jsonrpc2.ObjectStream over authenticated frames: length,
// authentication code, JSON.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *Traffic
	// lastRead is when the last frame arrived.
	lastRead monotonic.Instant

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

// seal returns the frame that carries payload.
func (c *codec) seal(payload []byte) []byte {
	frame := make([]byte, lengthBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, c.sum(payload)...)
	return append(frame, payload...)
}

// open reads a frame and returns its payload; authentic is false for a frame
// that wasn't sealed by the other side.
func (c *codec) open(reader io.Reader) (payload []byte, authentic bool, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, false, err
	}
	size := binary.BigEndian.Uint32(header[:lengthBytes])
	if size > MaxFrameBytes {
		return nil, false, &FrameSizeError{Size: size}
	}
	payload = make([]byte, size)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, false, err
	}
	return payload, hmac.Equal(header[lengthBytes:], c.sum(payload)), nil
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
	frame := s.writeCode.seal(payload)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	s.traffic.messagesSent.Add(1)
	s.traffic.bytesSent.Add(uint64(len(frame)))
	if _, err := s.conn.Write(frame); err != nil {
		// A frame that was sent in part leaves the stream unusable.
		_ = s.conn.Close()
		return err
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream. A frame that isn't authentic, or
// that takes too long, ends the stream.
func (s *stream) ReadObject(object any) error {
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
		return err
	}
	payload, authentic, err := s.readCode.open(s.reader)
	if err != nil {
		return err
	}
	if !authentic {
		return s.notAuthentic()
	}
	s.lastRead.Set(time.Now())
	s.traffic.messagesReceived.Add(1)
	s.traffic.bytesReceived.Add(uint64(headerBytes + len(payload)))
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return json.Unmarshal(payload, object)
}

// silentFor reports whether at now no frame has arrived for longer than limit.
func (s *stream) silentFor(limit time.Duration, now time.Time) bool {
	silence, ok := s.lastRead.Elapsed(now)
	return ok && silence > limit
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// keepAlive finds connections whose other side is gone without a word.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
}

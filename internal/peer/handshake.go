package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"
)

const (
	// nonceBytes is the size of each side's nonce.
	nonceBytes = 32
	// handshakeTimeout bounds the handshake.
	handshakeTimeout = 2 * time.Second
	// protocol separates session keys from other uses of the shared key.
	protocol = "poplarwheel peer 1"
)

// Labels separate the two directions of a session.
const (
	fromDialer   = "dialer"
	fromListener = "listener"
)

// confirmation is the first authenticated payload of each direction.
var confirmation = []byte("confirm")

// dialStream runs the dialer's side of the handshake.
func dialStream(conn net.Conn, key []byte, deadline time.Time, traffic *Traffic) (*stream, error) {
	s, own, other, err := exchangeNonces(conn, deadline, traffic)
	if err != nil {
		return nil, err
	}
	s.setKey(sessionKey(key, own, other), fromDialer, fromListener)
	if _, err := conn.Write(s.writeCode.sum(confirmation)); err != nil {
		return nil, err
	}
	proof, err := s.readProof()
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, s.readCode.sum(confirmation)) {
		return nil, s.notAuthentic()
	}
	return s, conn.SetDeadline(time.Time{})
}

// acceptStream runs the listener's side of the handshake with any of the keys.
func acceptStream(conn net.Conn, keys [][]byte, deadline time.Time, traffic *Traffic) (*stream, error) {
	s, own, other, err := exchangeNonces(conn, deadline, traffic)
	if err != nil {
		return nil, err
	}
	proof, err := s.readProof()
	if err != nil {
		return nil, err
	}
	if !s.matchKey(keys, own, other, proof) {
		return nil, s.notAuthentic()
	}
	if _, err := conn.Write(s.writeCode.sum(confirmation)); err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}

// matchKey sets up the session for the key that the dialer has proved.
func (s *stream) matchKey(keys [][]byte, own, other, proof []byte) bool {
	for _, key := range keys {
		s.setKey(sessionKey(key, other, own), fromListener, fromDialer)
		if hmac.Equal(proof, s.readCode.sum(confirmation)) {
			return true
		}
	}
	return false
}

func exchangeNonces(conn net.Conn, deadline time.Time, traffic *Traffic) (s *stream, own, other []byte, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, nil, nil, err
	}
	own, other = make([]byte, nonceBytes), make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return nil, nil, nil, err
	}
	if _, err := conn.Write(own); err != nil {
		return nil, nil, nil, err
	}
	s = &stream{conn: conn, reader: bufio.NewReader(conn), traffic: traffic}
	_, err = io.ReadFull(s.reader, other)
	return s, own, other, err
}

func (s *stream) readProof() ([]byte, error) {
	proof := make([]byte, sha256.Size)
	_, err := io.ReadFull(s.reader, proof)
	return proof, err
}

func (s *stream) notAuthentic() error {
	return &AuthenticationError{Remote: s.conn.RemoteAddr().String()}
}

func (s *stream) setKey(key []byte, write, read string) {
	s.writeCode, s.readCode = newCodec(key, write), newCodec(key, read)
}

func sessionKey(sharedKey, dialerNonce, listenerNonce []byte) []byte {
	mac := hmac.New(sha256.New, sharedKey)
	mac.Write([]byte(protocol))
	mac.Write(dialerNonce)
	mac.Write(listenerNonce)
	return mac.Sum(nil)
}

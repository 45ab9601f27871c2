// Package peer is the inner protocol between entry daemons: JSON-RPC 2.0 over
// TCP, in authenticated frames.
//
// Both sides of a connection send a random nonce and derive the session's key
// from the shared key and both nonces. Every frame carries a counter and a
// message authentication code, so strangers can't speak and recorded frames
// can't be played again. Contents are not encrypted.
package peer

// Package peer is the inner protocol between entry daemons: JSON-RPC 2.0 over
// TCP, in authenticated frames.
//
// Both sides of a connection send a random nonce, derive the session's key from
// the shared key and both nonces, and prove to each other that they hold it
// before any message is read. Every frame carries a counter and a message
// authentication code, so strangers can't speak and recorded frames can't be
// played again. Contents are not encrypted.
//
// A listener may accept more than one shared key, so that the key can be
// replaced while daemons run.
package peer

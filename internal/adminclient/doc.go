// Package adminclient is a client of the administration API, see
// internal/adminapi. It knows several addresses of the API and goes on to the next
// when one takes no connection.
//
// Errors are *adminapi.Error if the API refused a request, *NameError if the
// request names something that can't exist, *TransportError if no usable answer
// came, and *UnsureError if a change may or may not have taken effect.
package adminclient

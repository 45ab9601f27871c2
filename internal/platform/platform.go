// Package platform is the client of the platform's object API: objects with
// versions, conditional updates and watches, and the lagging list of VMs.
package platform

import (
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Version is the version of an object. It grows with each write. 0 means that
// the object doesn't exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Role tells entry VMs and target VMs apart.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// VMState is the platform's view of a VM.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name   string  `json:"name"`
	IP     string  `json:"ip"`
	Region string  `json:"region"`
	Zone   string  `json:"zone"`
	Role   Role    `json:"role"`
	State  VMState `json:"state"`
}

// VMList is the platform's list of VMs, which may lag.
type VMList struct {
	Version Version `json:"version"`
	VMs     []VM    `json:"vms"`
}

// Store is the object API.
//
// Errors are *NotFoundError, *ConflictError, *TooLargeError and
// *UnavailableError.
type Store interface {
	// Get reads an object.
	Get(key string) (Object, error)
	// Create writes an object that must not exist.
	Create(key string, value []byte) (Version, error)
	// Update replaces the value of an object at exactly the given version.
	Update(key string, version Version, value []byte) (Version, error)
	// Delete removes an object at exactly the given version.
	Delete(key string, version Version) error
	// Watch waits until the object's version is above after, for wait at most.
	// On timeout it returns an Object with version after and no value.
	Watch(key string, after Version, wait time.Duration) (Object, error)
	// VMs waits until the list's version is above after, for wait at most. On
	// timeout it returns a list with version after and no VMs.
	VMs(after Version, wait time.Duration) (VMList, error)
}

// NotFoundError reports that an object doesn't exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("platform: object %q not found", e.Key) }

// ConflictError reports that an object isn't at the version the write expected.
type ConflictError struct {
	Key string
	// Have is the object's version.
	Have Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: object %q is at version %d", e.Key, e.Have)
}

// TooLargeError reports a value above MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform: value of %q has %d bytes, the limit is %d", e.Key, e.Size, MaxValueBytes)
}

// UnavailableError reports a call without a usable answer: an outage, a timeout
// or a refusal for the rate limit.
type UnavailableError struct {
	Operation string
	Key       string
	// MayHaveApplied is set for a write that may have taken effect.
	MayHaveApplied bool
	Cause          error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform: %s %q: %v", e.Operation, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP status that the operation doesn't define.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

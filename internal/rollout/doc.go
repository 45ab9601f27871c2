// Package rollout accepts configuration and brings it into force.
//
// The platform holds one head object, which names the revision and the body of
// each service, and one immutable object for each body. An acceptance writes the
// new bodies and then replaces the head by one conditional update, so a revision
// is accepted whole or not at all. The keys of bodies are unique to their
// acceptance: once a head no longer names a body, no later head does, and the
// body can be deleted.
//
// A daemon fetches only the bodies that changed. It learns of a new head from a
// watch, from a periodic read and from its peers, whichever is first, and never
// applies a revision below the one in force.
package rollout

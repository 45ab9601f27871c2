// Package admin serves the administration API, which internal/adminapi defines.
//
// Teams authenticate with tokens that are kept as hashes in one platform object,
// and read and change their own services only. Administrators authenticate with a
// token whose hash is in the settings, and may do all. What may be changed is
// decided against the very revision that a change is based on; the conditional
// update of the acceptance makes sure that it is still the newest.
package admin

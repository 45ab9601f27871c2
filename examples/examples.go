// Package examples holds the filled-in questionnaires of two deployments and the
// configurations that they yield.
package examples

import _ "embed"

// Swanbrook holds the answers of an equipment hire: stock, bookings and
// logistics in three availability zones.
//
//go:embed swanbrook.answers.json
var Swanbrook []byte

// Lumenwalk holds the answers of a tour operator: routes, bookings and signs in
// three availability zones.
//
//go:embed lumenwalk.answers.json
var Lumenwalk []byte

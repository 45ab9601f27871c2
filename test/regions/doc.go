// Package regions tests entry daemons of two regions that lose each other.
package regions

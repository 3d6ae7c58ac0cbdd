// Package seededhash gives the numbers by which many gateways choose alike without talking: the same words give the same
// number everywhere, in every build. It has no state.
package seededhash

import "github.com/cespare/xxhash/v2"

// Of is a number drawn from what was drawn before, 0 at first, and one more word.
func Of(before uint64, word string) uint64 { return Mix(before ^ xxhash.Sum64String(word)) }

// Mix spreads a number, so that numbers that differ in a bit have nothing in common.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

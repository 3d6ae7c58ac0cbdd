// Package seededhash provides deterministic hashes by which many gateways make the same choice without
// communication: the same words give the same number in every process and build. It has no state.
package seededhash

import "github.com/cespare/xxhash/v2"

// Chain returns the hash of a chain of words: before is the hash of the words before, 0 at first.
func Chain(before uint64, word string) uint64 { return Mix(before ^ xxhash.Sum64String(word)) }

// Mix scrambles a number (the finalizer of SplitMix64), so that numbers that differ in one bit give unrelated
// results.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

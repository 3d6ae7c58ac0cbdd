//go:build race

package simbranch

const raced = true

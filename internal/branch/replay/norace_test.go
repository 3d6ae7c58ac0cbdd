//go:build !race

package replay

const raced = false

//go:build race

package gossiper

const raceEnabled = true

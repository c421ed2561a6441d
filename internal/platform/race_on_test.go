//go:build race

package platform

const raceOn = true

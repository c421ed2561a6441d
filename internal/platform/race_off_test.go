//go:build !race

package platform

const raceOn = false

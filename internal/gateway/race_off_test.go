//go:build !race

package gateway

const raceOn = false

//go:build race

package gateway

const raceOn = true

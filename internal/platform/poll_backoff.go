package platform

import "math"

const (
	minPollInterval  = 0.02 // s from one poll to the next: empty responses that come at once are no busy loop
	firstBackoff     = 0.05 // s of backoff after the first poll that failed, before jitter; doubles with each one more
	maxBackoff       = 1.0  // s
	minResponseSlack = 0.3  // s that a response may take beyond the wait that the poll asked for, at first
	maxResponseSlack = 4.0  // s
)

// nextBackoff returns the backoff after a poll: doubled within bounds after one that failed, none after a good one.
func nextBackoff(backoff float64, failed bool) float64 {
	if !failed {
		return 0
	}
	return math.Min(maxBackoff, math.Max(firstBackoff, 2*backoff))
}

// nextResponseSlack returns how long the next response may take beyond the wait that its poll asks for. It is doubled after
// a timeout, so that a slow change log gets through in the end; after a response it is twice what that took beyond.
func nextResponseSlack(slack float64, timedOut bool, beyond float64) float64 {
	if timedOut {
		return math.Min(maxResponseSlack, 2*slack)
	}
	return math.Min(maxResponseSlack, math.Max(minResponseSlack, 2*beyond))
}

// pollDelay returns how long to wait until the next poll. random, from 0 to 1, draws it from the upper half of the backoff:
// otherwise all dispatchers would poll in step after an outage. At least minPollInterval lies between two polls.
func pollDelay(backoff, random, sincePolled float64) float64 {
	return math.Max(backoff*(0.5+0.5*random), minPollInterval-sincePolled)
}

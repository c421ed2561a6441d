package platform

import "math"

const (
	minPollInterval  = 0.02 // s between two polls, so that immediate empty responses cause no busy loop
	initialBackoff   = 0.05 // s of backoff after the first failed poll, before jitter; it doubles with each further failure
	maxBackoff       = 1.0  // s of backoff at most, before jitter
	minResponseSlack = 0.3  // initial and minimum s that a response may take beyond the wait that its poll requested
	maxResponseSlack = 4.0  // maximum s that it may take beyond that wait
)

// nextBackoff returns the backoff after a poll: doubled within bounds after a failure, 0 after a success.
func nextBackoff(backoff float64, failed bool) float64 {
	if !failed {
		return 0
	}
	return math.Min(maxBackoff, math.Max(initialBackoff, 2*backoff))
}

// nextResponseSlack returns how long the next response may take beyond the wait that its poll requests. After a timeout it
// is doubled, so that a slow change log can respond in time eventually. After a response it is twice the time by which that
// response exceeded its wait.
func nextResponseSlack(slack float64, timedOut bool, exceededBy float64) float64 {
	if timedOut {
		return math.Min(maxResponseSlack, 2*slack)
	}
	return math.Min(maxResponseSlack, math.Max(minResponseSlack, 2*exceededBy))
}

// pollDelay returns how long to wait until the next poll. random, from 0 to 1, selects a delay in the upper half of the
// backoff: without jitter all dispatchers would poll at the same time after an outage. At least minPollInterval lies between
// two polls.
func pollDelay(backoff, random, sincePolled float64) float64 {
	return math.Max(backoff*(0.5+0.5*random), minPollInterval-sincePolled)
}

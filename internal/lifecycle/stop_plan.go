package lifecycle

import "math"

// StopTimes are the times by which a platform stops a process, in seconds.
type StopTimes struct {
	ClientArrivalDuration float64 // from the signal, during which clients still connect
	MaxServeDuration      float64 // from the signal, the maximum duration of full service
	MaxDeadline           float64 // a longer request deadline counts as this one
	KillDelay             float64 // from the longest request deadline to the kill
	KillMargin            float64 // before the kill, reserved for sending the last responses
	CloseDuration         float64 // before the kill, during which connections are closed although clients still use them
	EndMargin             float64 // before the kill, reserved for the process to exit
}

// StopPlan is the schedule of a graceful shutdown, in seconds from the signal.
type StopPlan struct {
	ServeUntil float64 // end of full service, which continues while clients still connect
	RespondBy  float64 // when every request must have its response
	CloseFrom  float64 // when idle connections start to be closed: a request that is unread at the kill would be lost
	EndBy      float64 // when the process must have exited
}

// PlanStop returns the schedule for requests with at most the given deadline. With a short deadline the kill follows soon,
// so full service ends earlier.
func PlanStop(times StopTimes, deadline float64) StopPlan {
	killAt := math.Min(deadline, times.MaxDeadline) + times.KillDelay
	closeFrom := math.Max(times.ClientArrivalDuration, killAt-times.CloseDuration)
	return StopPlan{
		ServeUntil: math.Min(times.MaxServeDuration, closeFrom),
		RespondBy:  killAt - times.KillMargin,
		CloseFrom:  closeFrom,
		EndBy:      killAt - times.EndMargin,
	}
}

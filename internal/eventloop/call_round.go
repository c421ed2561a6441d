//go:build linux

package eventloop

// callRound bounds the reads or writes that one connection makes in a row, by their number and by time: calls may be short, fail or
// take long, and the loop does nothing else meanwhile.
type callRound struct {
	calls  int
	endsAt float64
}

// next reports whether the round may have another call.
func (r *callRound) next(loop *Loop) bool {
	r.calls++
	switch r.calls {
	case 1: // most rounds are one call, which needs no clock
		return true
	case 2:
		r.endsAt = loop.Clock() + maxRoundTime
		return true
	}
	return r.calls <= maxCallsPerRound && loop.Clock() <= r.endsAt
}

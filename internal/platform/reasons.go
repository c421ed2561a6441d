package platform

// Reasons by which dropped messages, closed connections and failed polls are counted and logged, and which the flight
// recorder keeps. Operators read them: docs/operators.md describes each.
const (
	reasonFrame            = "frame"
	reasonUnreadable       = "unreadable"
	reasonUnusable         = "unusable"
	reasonSequenceInUse    = "number_in_use"
	reasonTooManyOpen      = "too_many_open"
	reasonUnknownGroup     = "unknown_group"
	reasonNoIdempotencyKey = "no_mark"
	reasonIDInUse          = "id_in_use"
	reasonFull             = "full"
	reasonTooManyModels    = "too_many_models"
	reasonUnreadResponses  = "does_not_read"
	reasonMessageStalled   = "message_stalled"
	reasonSilent           = "silent"
	reasonIdle             = "idle"
	reasonIdleClosed       = "idle_closed"
	reasonNoDescriptor     = "no_descriptor"
	reasonDrained          = "drained"
	reasonPeerClosed       = "peer_closed"

	reasonResponseMalformed   = "answer_spoilt"
	reasonResponseStalled     = "answer_stalled"
	reasonUnexpectedResponse  = "answer_to_nothing"
	reasonLocalConnectFailure = "no_means_to_connect"
	reasonPartlySentAttempt   = "given_up_in_part"
	reasonPartlySentDeadline  = "stale_in_part"

	reasonChangeLogSilent = "change_log_silent"
	reasonChangeLogFailed = "change_log_failed"
	reasonChangeLogEvent  = "change_log_event"
	reasonChangeLogEntry  = "change_log_entry"
)

package platform

// Reasons for dropped messages, closed connections and failed polls, as they appear in drop counts, in logs and in the
// flight recorder. docs/operators.md describes each.
const (
	reasonInvalidFrame     = "frame"
	reasonMalformedMessage = "unreadable"
	reasonInvalidMessage   = "unusable"
	reasonSequenceInUse    = "number_in_use"
	reasonTooManyRequests  = "too_many_open"
	reasonUnknownGroup     = "unknown_group"
	reasonNoIdempotencyKey = "no_mark"
	reasonIDInUse          = "id_in_use"
	reasonAtCapacity       = "full"
	reasonTooManyModels    = "too_many_models"
	reasonUnreadResponses  = "does_not_read"
	reasonStalledMessage   = "message_stalled"
	reasonNoFirstMessage   = "silent"
	reasonIdle             = "idle"
	reasonIdleClosed       = "idle_closed"
	reasonNoDescriptor     = "no_descriptor"
	reasonDrained          = "drained"
	reasonShutdown         = "shutdown"
	reasonClosedUnread     = "closed_unread"
	reasonPeerClosed       = "peer_closed"

	reasonMalformedResponse   = "answer_spoilt"
	reasonStalledResponse     = "answer_stalled"
	reasonUnexpectedResponse  = "answer_to_nothing"
	reasonLocalConnectFailure = "no_means_to_connect"
	reasonCancelledPartlySent = "given_up_in_part"
	reasonStalePartlySent     = "stale_in_part"

	reasonChangeLogTimeout      = "change_log_silent"
	reasonChangeLogFailed       = "change_log_failed"
	reasonInvalidChangeLogEvent = "change_log_event"
	reasonInvalidChangeLogEntry = "change_log_entry"
)

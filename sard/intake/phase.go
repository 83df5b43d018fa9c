package intake

//go:generate go tool stringer -type=Phase,Cause -output=enums_string.go

// Phase says what a connection is waiting for.
type Phase int

// Phases of a connection.
const (
	// AwaitingRequest is the phase of a new connection on which nothing has arrived.
	AwaitingRequest Phase = iota
	// Idle is the phase between two requests.
	Idle
	// ReceivingHeader is the phase of a request whose header has not arrived whole.
	ReceivingHeader
	// ReceivingBody is the phase of a request whose body is being read.
	ReceivingBody
	// Serving is the phase of a request that is being served.
	Serving
	// Responding is the phase in which a part of the response is being written.
	Responding
	// Lingering is the phase after a response that was sent before the request had arrived whole: what arrives is discarded.
	Lingering

	phaseCount
)

// Cause says why a client was refused or its connection closed.
type Cause int

const (
	// TooManyConnections means that a connection was closed in favour of a new one.
	TooManyConnections Cause = iota
	// AllServing means that a new connection was closed because requests are being served on all others.
	AllServing
	// TooManyHeaderFields means that a request had more than maxHeaderFields.
	TooManyHeaderFields
	// BodyTooLate means that a body had not arrived whole when the time of its request was over.
	BodyTooLate
	// TooManyBodies means that a body was given up because all of them together took too much memory.
	TooManyBodies
	// TooMuchServing means that the time of a request was over before it could be served.
	TooMuchServing
	// ResponseNotRead means that a client did not read its response.
	ResponseNotRead

	causeCount
)

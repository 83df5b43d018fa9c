package peer

import (
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardineline/sardineline/sard/fault"
)

// messageTypes maps each kind of message to its Go type.
var messageTypes = map[Kind]reflect.Type{}

func init() {
	for _, m := range []Message{
		Done{},
		Heartbeat{},
		Exchange{},
		Fetch{},
		Record{},
		Submit{},
		Get{},
		List{},
		Cancel{},
		Explain{},
		View{},
		Views{},
		Explanation{},
		StatusQuery{},
		Status{},
		Drain{},
	} {
		messageTypes[m.kind()] = reflect.TypeOf(m)
	}
}

// frame is the encoding of one message on the wire.
type frame struct {
	// ID matches a reply to its call; 0 for a message that gets no reply.
	ID uint64
	// Reply is set in a reply and unset in a call or another message.
	Reply bool
	// Kind is the kind of the message that Body encodes.
	Kind Kind
	Body cbor.RawMessage
	// Error is set in the reply to a failed call.
	Error *wireError
}

// wireError is the encoding of a fault on the wire.
type wireError struct {
	Kind fault.Kind
	Step string
	Peer string
	// Message is the text of the error, including the step and the peer of a fault.Error.
	Message    string
	RetryAfter time.Duration
}

// encodeFrame encodes a message as a call, or as a reply to the call with the given id.
func encodeFrame(id uint64, reply bool, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode message", "")
	}
	return cbor.Marshal(frame{ID: id, Reply: reply, Kind: m.kind(), Body: body})
}

// encodeErrorFrame encodes the reply to a failed call.
func encodeErrorFrame(id uint64, err error) ([]byte, error) {
	body := &wireError{Kind: fault.KindOf(err), Message: err.Error(), RetryAfter: fault.RetryAfterOf(err)}
	return cbor.Marshal(frame{ID: id, Reply: true, Error: body})
}

// decodeFrame decodes a frame without the message in its body.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return frame{}, fault.Wrap(err, fault.Invalid, "decode frame", "")
	}
	return f, nil
}

// decodeMessage decodes the message in the body of a frame, or returns the error that the frame carries.
func (f frame) decodeMessage(peer string) (Message, error) {
	if f.Error != nil {
		return nil, fault.New(f.Error.Kind, "call", peer, "%s", f.Error.Message).WithRetryAfter(f.Error.RetryAfter)
	}
	t, ok := messageTypes[f.Kind]
	if !ok {
		return nil, fault.New(fault.Invalid, "decode message", peer, "unknown message kind %d", int(f.Kind))
	}
	value := reflect.New(t)
	if err := cbor.Unmarshal(f.Body, value.Interface()); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "decode message", peer)
	}
	return value.Elem().Interface().(Message), nil
}

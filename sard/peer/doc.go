// Package peer is the link between instances: CBOR messages over WebSocket.
package peer

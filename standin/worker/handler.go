package worker

import (
	"context"
	"encoding/json"
	"net/http"

	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
)

// callHandler decodes and processes a call under the worker's lock, and returns the response body or an error. Both are
// nil if a Die fault is active, so that the call gets no response.
type callHandler func(r *http.Request) (any, *callError)

// newRoutes returns the handlers of the worker protocol by URL path.
func (w *Worker) newRoutes() map[string]callHandler {
	return map[string]callHandler{
		"/v1/fence":      decodeCall(w, w.fence),
		"/v1/reserve":    decodeCall(w, w.reserve),
		"/v1/start":      decodeCall(w, w.start),
		"/v1/renew":      decodeCall(w, w.renew),
		"/v1/checkpoint": decodeCall(w, w.checkpoint),
		"/v1/throttle":   decodeCall(w, w.throttle),
		"/v1/stop":       decodeCall(w, w.stop),
		"/v1/report":     decodeCall(w, w.fence),
	}
}

// decodeCall returns a handler that decodes the request body and passes it to call. It rejects unknown fields.
func decodeCall[In any](w *Worker, call func(context.Context, In) (any, *callError)) callHandler {
	return func(r *http.Request) (any, *callError) {
		var request In
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&request)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			return nil, w.newCallError(http.StatusBadRequest, wire.BadRequest, err.Error())
		}
		if w.dead {
			return nil, nil
		}
		return call(r.Context(), request)
	}
}

// ServeHTTP handles one call of the worker protocol.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.config.Faults.Delay(r.Context(), w.component)
	if _, ok := w.config.Faults.Trigger(w.component, faults.Cut); ok {
		faults.Abort()
	}
	handle := w.routes[r.URL.Path]
	if handle == nil || r.Method != http.MethodPost {
		writeJSON(rw, http.StatusNotFound, wire.ErrorReply{Code: wire.BadRequest, Message: "no such call"})
		return
	}
	body, callErr := handle(r)
	if body == nil && callErr == nil {
		faults.Abort()
	}
	w.config.Faults.WaitWhileFrozen(r.Context(), w.component)
	if _, ok := w.config.Faults.Trigger(w.component, faults.LoseAnswer); ok {
		faults.Abort()
	}
	if callErr != nil {
		writeJSON(rw, callErr.status, callErr.reply)
		return
	}
	writeJSON(rw, http.StatusOK, body)
}

// writeJSON writes body as a JSON response.
func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

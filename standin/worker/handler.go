package worker

import (
	"context"
	"encoding/json"
	"net/http"

	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
)

// route decodes a call and answers it under the worker's lock. A dead worker answers nothing.
type route func(r *http.Request) (any, *refusal)

func (w *Worker) table() map[string]route {
	return map[string]route{
		"/v1/fence":      decoded(w, w.fence),
		"/v1/reserve":    decoded(w, w.reserve),
		"/v1/start":      decoded(w, w.start),
		"/v1/renew":      decoded(w, w.renew),
		"/v1/checkpoint": decoded(w, w.checkpoint),
		"/v1/throttle":   decoded(w, w.throttle),
		"/v1/stop":       decoded(w, w.stop),
		"/v1/report":     decoded(w, w.fence),
	}
}

func decoded[In any](w *Worker, call func(context.Context, In) (any, *refusal)) route {
	return func(r *http.Request) (any, *refusal) {
		var in In
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&in)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			return nil, w.refuse(http.StatusBadRequest, wire.BadRequest, err.Error())
		}
		if w.dead {
			return nil, nil
		}
		return call(r.Context(), in)
	}
}

// ServeHTTP answers one call.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.config.Faults.Delay(r.Context(), w.place)
	if _, ok := w.config.Faults.Trigger(w.place, faults.Cut); ok {
		faults.Abort()
	}
	handle := w.routes[r.URL.Path]
	if handle == nil || r.Method != http.MethodPost {
		answer(out, http.StatusNotFound, wire.ErrorReply{Code: wire.BadRequest, Message: "no such call"})
		return
	}
	body, refused := handle(r)
	if body == nil && refused == nil {
		faults.Abort()
	}
	w.config.Faults.WaitWhileFrozen(r.Context(), w.place)
	if _, ok := w.config.Faults.Trigger(w.place, faults.LoseAnswer); ok {
		faults.Abort()
	}
	if refused != nil {
		answer(out, refused.status, refused.reply)
		return
	}
	answer(out, http.StatusOK, body)
}

func answer(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

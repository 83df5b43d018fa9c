package route

import "context"

// keyedBuffer bounds the body of a request with an idempotency key in bytes.
const keyedBuffer = 256 << 10

func (r *Router) forwardOnce(ctx context.Context, c *call) Result {
	return r.forward(ctx, c)
}

package store

import "context"

// arrivalKey is the key of the function of WithArrivals in a context.
type arrivalKey struct{}

// WithArrivals returns a context whose calls call arrived for each part of their answer that arrives, as well as the
// functions of ctx.
func WithArrivals(ctx context.Context, arrived func()) context.Context {
	return context.WithValue(ctx, arrivalKey{}, func() {
		Arrived(ctx)
		arrived()
	})
}

// Arrived tells those who made ctx by WithArrivals that a part of an answer has arrived. Stores whose answers may take
// long to transfer call it.
func Arrived(ctx context.Context) {
	if arrived, ok := ctx.Value(arrivalKey{}).(func()); ok {
		arrived()
	}
}

// Package route chooses a backend server for each request and bounds queues, connections and retries.
package route

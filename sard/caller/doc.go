// Package caller serves the HTTP API of callers: jobs, and short requests that are forwarded to backend servers.
package caller

// Package caller serves the HTTP API of client accounts: jobs, and short requests that are forwarded to backend
// servers.
package caller

// Package caller serves the HTTP API of client accounts: jobs, and short requests that are forwarded to backend
// servers. A caller is a client that uses this API with the token of a client account.
package caller

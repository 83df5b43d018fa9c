// Package object is the client of the platform's object store, which keeps what is large or finished: archived
// jobs and the manifests of checkpoints.
package object

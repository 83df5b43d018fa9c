// Package object implements a client for the platform's object store, which holds large and archived data: archived jobs
// and checkpoint manifests.
package object

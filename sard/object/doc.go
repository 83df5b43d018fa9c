// Package object is the client of the platform's object store.
package object

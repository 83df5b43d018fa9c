// Package oper serves the HTTP API of operators.
package oper

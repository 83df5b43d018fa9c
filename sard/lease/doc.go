// Package lease holds domain leases with epochs in the table service.
package lease

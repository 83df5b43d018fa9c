// Package config accepts environment documents, spreads them over the instances and tracks the one in force.
package config

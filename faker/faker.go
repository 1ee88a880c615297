// Package faker holds the small stand-ins for what figtrack meets outside:
// engines, plain services and the platform's store. Faults are switched on
// from tests and from the demo.
package faker

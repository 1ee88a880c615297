// Package faker has small fakes of the services that figtrack depends on: LLM
// engines, plain services and the platform's store. Tests and the demo inject
// faults into them.
package faker

// Package wire holds the messages between VMs, generated from the schema
// files beside this one.
package wire

//go:generate ./generate.sh

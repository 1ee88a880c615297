// Package wire defines the messages that VMs exchange and the values that they
// keep in the platform's store. Its types are generated from the .proto files
// in this folder.
package wire

//go:generate ./generate.sh

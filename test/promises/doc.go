// Package promises tests the guarantees of the gateway with real gateway
// processes under failures. docs/PROMISES.md lists the guarantees.
package promises

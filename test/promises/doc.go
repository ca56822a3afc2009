// Package promises holds the tests that prove, with real gateway processes
// under failure, what must always hold. docs/PROMISES.md lists them.
package promises

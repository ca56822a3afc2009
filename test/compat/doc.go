// Package compat tests that unmodified third-party client libraries work with
// real gateways.
package compat

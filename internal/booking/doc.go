// Package booking decides which attempts of a non-idempotent request may run.
//
// A non-idempotent request carries an idempotency key. The key names one
// incarnation of a gateway, its owner. The owner runs the request at most once
// and answers every attempt with the same outcome. A closed key never runs
// from then on. The owner keeps its records in memory only: they are neither
// persisted nor replicated.
//
// The package contains no transport code, and the clock is injected.
package booking

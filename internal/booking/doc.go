// Package booking decides which attempts of a non-idempotent request may run.
//
// A request that isn't idempotent carries an idempotency key. The key names
// the incarnation of a gateway, its owner. Only the owner lets the request run,
// at most once, and it answers all attempts with the same outcome. The owner
// keeps what it knows in memory; nothing is written elsewhere.
//
// The package has no transport, and the clock is passed in.
package booking

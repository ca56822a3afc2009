// Package compat shows that stock clients of the usual protocols work against
// real gateways.
package compat

// Package clients tests the programs against clients that nobody trusts: a crowd of them
// holds connections, headers, bodies and responses, and the process must live, stay within
// its memory and its descriptors, and answer an ordinary request afterwards.
package clients

package fleet

// prefixes is the set of prompt prefixes that an engine has cached.
type prefixes struct {
	Sorted []uint64
}

package quota

// Request is what a VM sends to the owner of a shard.
type Request struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Shard       int    `json:"shard"`
	// Sequence grows with each request of the incarnation.
	Sequence uint64 `json:"seq"`
	// Active is the number of VMs that may be active, as the sender knows.
	Active int `json:"active"`
	// Owner is the incarnation of the owner that last answered, and At an instant on its
	// clock in microseconds at which this request had not been sent yet. Both are
	// empty before the first answer: then nothing is delegated.
	Owner string `json:"owner,omitempty"`
	At    int64  `json:"at,omitempty"`
	// DelegateMs is for how long after At the sender's share is delegated, in milliseconds.
	// Zero takes the delegation back.
	DelegateMs int64 `json:"delegateMs,omitempty"`
	// Supply means that the receiver is the agent of the sender's region: it passes on units
	// of its own wallets.
	Supply bool `json:"supply,omitempty"`
	// Fresh means that an earlier process of the VM may have delegated the share.
	Fresh bool   `json:"fresh,omitempty"`
	Teams []Want `json:"teams,omitempty"`
}

// Want is what a VM wants for a team. All values are in units.
type Want struct {
	Team string `json:"t"`
	// Wanted is for demand. Unit is the cost of the smallest request that is not admitted
	// yet, and Least what it lacks: a grant below that is useless. Both are zero if there is
	// none.
	Wanted int64 `json:"w,omitempty"`
	Unit   int64 `json:"u,omitempty"`
	Least  int64 `json:"l,omitempty"`
	// Refill is for the local allowance. It is granted if the bucket is well filled.
	Refill int64 `json:"r,omitempty"`
	// Spent is what was used since the last request, and Demand the smoothed demand per
	// second.
	Spent  int64 `json:"s,omitempty"`
	Demand int64 `json:"d,omitempty"`
	// ahead is the part of Wanted for requests that have not come yet.
	ahead int64
}

// Response is the answer of an owner.
type Response struct {
	Owner string `json:"owner"`
	// Clock is the instant of the answer on the owner's clock in microseconds.
	Clock  int64   `json:"clock"`
	Active int     `json:"active"`
	Teams  []Grant `json:"teams,omitempty"`
}

// Grant is what an owner grants for a team.
type Grant struct {
	Team    string `json:"t"`
	Granted int64  `json:"g,omitempty"`
	// ValidMs is the time in milliseconds from the request for which units of an agent are
	// valid.
	ValidMs int64 `json:"v,omitempty"`
	// Scarce means that less was granted than wanted, and RetryAfterMs is the time in
	// milliseconds until the bucket holds enough for the smallest request.
	Scarce       bool  `json:"s,omitempty"`
	RetryAfterMs int64 `json:"a,omitempty"`
}

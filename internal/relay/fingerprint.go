package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/chestnutspring/chestnutspring/internal/quarantine"
)

// traits returns what the request may have in common with others that crash servers.
func (req *Request) traits() quarantine.Traits {
	return quarantine.Traits{Blocks: req.Demand.SharedBlockIDs(), Fingerprint: req.fingerprint()}
}

// fingerprint identifies a request with its repeats: those with the same method,
// host, path and query, body, and credentials of the caller. It is the same on all
// VMs. Where there are teams, the team and the ID of its key stand for the credentials.
func (req *Request) fingerprint() uint64 {
	h := sha256.New()
	credentials := req.Header.Get("Authorization")
	if req.Key != 0 {
		credentials = req.Team + " " + strconv.FormatUint(uint64(req.Key), 16)
	}
	for _, part := range []string{req.Method, req.Host, req.Target, credentials} {
		// The length keeps the parts apart. Writing to a hash returns no error.
		_ = binary.Write(h, binary.LittleEndian, uint64(len(part)))
		_, _ = h.Write([]byte(part))
	}
	_, _ = req.Body.WriteTo(h)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

package edge

import (
	"log/slog"
	"net"
)

// ports are the open listeners. Directory may be nil.
type ports struct {
	callers, ready, control, directory, hops, operators net.Listener
}

// listenAll opens the ports. The operators' port is of no use to callers: a
// process that can't have it serves without.
func listenAll(s *Settings, log *slog.Logger) (*ports, error) {
	p := &ports{}
	for _, port := range []struct {
		address  string
		into     *net.Listener
		optional bool
	}{
		{s.CallerListen, &p.callers, false}, {s.ReadyListen, &p.ready, false}, {s.ControlListen, &p.control, false},
		{s.DirectoryListen, &p.directory, false}, {s.HopListen, &p.hops, false}, {s.OperatorListen, &p.operators, true},
	} {
		if port.address == "" {
			continue
		}
		l, err := net.Listen("tcp", port.address)
		if err != nil && port.optional {
			log.Warn("operators' port not open", "address", port.address, "error", err)
			continue
		}
		if err != nil {
			return nil, ErrListen.Wrap(err, "%s", port.address)
		}
		*port.into = l
	}
	return p, nil
}

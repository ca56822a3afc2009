package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// maxDumpBytes bounds the state dump read from a gateway.
const maxDumpBytes = 64 << 20

// DumpCommand prints the state dump of a gateway.
type DumpCommand struct {
	Address string        `arg:"" help:"IP:port of the gateway's operators' port."`
	Timeout time.Duration `default:"5s" help:"Timeout of the call."`
}

// Run executes the command.
func (c *DumpCommand) Run(env *Env) error {
	data, err := fetchDump(c.Address, c.Timeout)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if err := json.Indent(&pretty, data, "", "  "); err != nil {
		return ErrGateway.Wrap(err, "dump of %s", c.Address)
	}
	_, err = fmt.Fprintln(env.Out, pretty.String())
	return err
}

func fetchDump(address string, timeout time.Duration) ([]byte, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, ErrGateway.New("%q isn't IP:port", address)
	}
	client := &http.Client{Timeout: timeout}
	resp, err := client.Get("http://" + address + "/debug/state")
	if err != nil {
		return nil, ErrGateway.Wrap(err, "dump of %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrGateway.New("dump of %s: status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes))
	if err != nil {
		return nil, ErrGateway.Wrap(err, "dump of %s", address)
	}
	return data, nil
}

// gatewayState holds the fields of a state dump that ExplainCommand uses.
type gatewayState struct {
	Self        snapshot.Identity                  `json:"self"`
	Revision    uint64                             `json:"revision"`
	Unconfirmed bool                               `json:"unconfirmed"`
	AgeSeconds  float64                            `json:"confirmedAgeSeconds"`
	Backends    map[string]*snapshot.BackendStatus `json:"backends"`
}

func fetchState(address string, timeout time.Duration) (*gatewayState, error) {
	data, err := fetchDump(address, timeout)
	if err != nil {
		return nil, err
	}
	state := &gatewayState{}
	if err := json.Unmarshal(data, state); err != nil {
		return nil, ErrGateway.Wrap(err, "dump of %s", address)
	}
	return state, nil
}

// summary describes the gateway and its configuration on one line.
func (g *gatewayState) summary() string {
	confirmed := fmt.Sprintf("confirmed %.1f s ago", g.AgeSeconds)
	if g.Unconfirmed {
		confirmed = "unconfirmed: sends no requests to other regions"
	}
	return fmt.Sprintf("gateway %s in %s has revision %d, %s", g.Self.VM, g.Self.Region, g.Revision, confirmed)
}

// describeServer describes the state of a backend server as seen by the gateway.
// It returns "" if g is nil or the gateway doesn't know the server.
func (g *gatewayState) describeServer(name string) string {
	if g == nil || g.Backends[name] == nil {
		return ""
	}
	b := g.Backends[name]
	switch {
	case b.Leaving:
		return "; leaving"
	case !b.Healthy:
		return "; not healthy"
	default:
		return fmt.Sprintf("; healthy, %d running, %d queued", b.Running, b.Queued)
	}
}

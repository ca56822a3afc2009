package soak

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/edge"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/platform"
)

// envRoutes holds the proxies, in JSON, through which a VM reaches the addresses of other
// VMs. The test program then serves the VM instead of running tests.
const envRoutes = "CHESTNUT_SOAK_ROUTES"

// routedDialer opens connections from a VM's own address, and those to the addresses of
// other VMs through proxies.
type routedDialer struct {
	from    string
	routes  map[string]string
	timeout time.Duration
}

// DialContext implements upstream.Dialer.
func (d *routedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if proxy := d.routes[address]; proxy != "" {
		address = proxy
	}
	dialer := &net.Dialer{Timeout: d.timeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(d.from)}}
	return dialer.DialContext(ctx, network, address)
}

// linkDialTimeout bounds the setup of a VM's connections.
const linkDialTimeout = 400 * time.Millisecond

// serveVM runs a VM whose connections take the routes of the environment, until SIGTERM.
func serveVM(routes string) error {
	settings, err := platform.LoadSettings(os.Getenv("CHESTNUTSPRING_BOOT"), 9464)
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(settings.HopListen)
	if err != nil {
		return err
	}
	dialer := &routedDialer{from: host, timeout: linkDialTimeout}
	if err := json.Unmarshal([]byte(routes), &dialer.routes); err != nil {
		return err
	}
	settings.ServerDialer, settings.PeerDialer = dialer, dialer
	log, sink := logging.NewBounded(os.Stdout, slog.LevelInfo)
	defer sink.Close(time.Second)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return edge.New(settings, platform.New(settings, log), log).Run(ctx, nil)
}

// peerLink is the path from one VM to another, in one direction of dialing.
type peerLink struct{ proxies []*Proxy }

// newPeerLinks opens the proxies between the VMs and sets the routes of each VM.
func (h *Harness) newPeerLinks() error {
	for _, from := range h.vms {
		from.routes = map[string]string{}
		for _, to := range h.vms {
			if from == to {
				continue
			}
			link := &peerLink{}
			for _, address := range []string{to.ControlAddress, to.HopAddress} {
				proxy, err := NewProxy(address)
				if err != nil {
					return err
				}
				link.proxies = append(link.proxies, proxy)
				from.routes[address] = proxy.Address
			}
			from.links = append(from.links, link)
		}
	}
	return nil
}

// linkFault returns a random fault of a link and its length.
func (h *Harness) linkFault() (Mode, time.Duration) {
	modes := []Mode{Delay, Cut, CutResponses, CutRequests, Reset}
	return modes[h.runRNG.IntN(len(modes))], time.Duration(300+h.runRNG.IntN(4700)) * time.Millisecond
}

// degradePeerLink disturbs the connections that a VM opened to one other VM, or to all.
func (h *Harness) degradePeerLink() {
	p := h.vms[h.runRNG.IntN(len(h.vms))]
	links := p.links
	if links == nil {
		return
	}
	if h.runRNG.IntN(2) == 0 {
		n := h.runRNG.IntN(len(links))
		links = links[n : n+1]
	}
	mode, length := h.linkFault()
	h.logFault("%d links from %s to other VMs in proxy mode %d for %v", len(links), p.Name, mode, length)
	h.markUnplanned(length)
	for _, l := range links {
		l.setMode(mode)
		time.AfterFunc(length, func() { l.setMode(PassThrough) })
	}
}

// showStaleStore lets a VM read from a copy of the registry that no longer changes, while the
// others read the registry.
func (h *Harness) showStaleStore() {
	p, length := h.vms[h.runRNG.IntN(len(h.vms))], time.Duration(500+h.runRNG.IntN(3500))*time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.recordViolation("the copy of the registry: %v", err)
		return
	}
	h.logFault("%s reads a copy of the registry for %v", p.Name, length)
	h.markUnplanned(length)
	server := &http.Server{Handler: h.Store.Clone()}
	go func() { _ = server.Serve(l) }()
	p.storeProxy.SetTarget(l.Addr().String())
	time.AfterFunc(length, func() {
		p.storeProxy.SetTarget(h.StoreAddress)
		_ = server.Close()
	})
}

// setMode changes what the proxies of the link do.
func (l *peerLink) setMode(mode Mode) {
	for _, proxy := range l.proxies {
		proxy.SetMode(mode)
	}
}

// runTestProgram makes a command run the VM by the test program, with the VM's routes.
func (p *process) runTestProgram(cmd *exec.Cmd) error {
	routes, err := json.Marshal(p.routes)
	if err != nil {
		return err
	}
	cmd.Path, cmd.Args = os.Args[0], os.Args[:1]
	cmd.Env = append(cmd.Env, envRoutes+"="+string(routes))
	return nil
}

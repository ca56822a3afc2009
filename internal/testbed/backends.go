package testbed

import (
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/standin/weights"
)

// startBackends starts the stand-ins for the backend servers and for the weight
// store.
func (b *Bed) startBackends(set *objects.Set) error {
	sizes := map[string]int{}
	for _, m := range set.Models {
		sizes[m.Name+"@"+m.Spec.Version] = m.Spec.WeightMegabytes
	}
	b.Weights = weights.New(weights.Config{
		MegabytesPerSecond: b.config.WeightMegabytesPerSecond,
		Megabytes:          sizes,
	})
	store, err := standin.Serve(loopback, b.Weights.Handler())
	if err != nil {
		return err
	}
	b.otherServers = append(b.otherServers, store)
	for _, server := range set.BackendServers {
		if err := b.startBackend(set, server, store.URL()); err != nil {
			return err
		}
	}
	return nil
}

// loopback is the listen address of stand-ins: a free port of loopback.
const loopback = "127.0.0.1:0"

func (b *Bed) startBackend(set *objects.Set, server *objects.BackendServer, weights string) error {
	var handler http.Handler
	if server.Spec.Model != "" {
		e := b.newEngine(set, server, weights)
		b.Engines[server.Name] = e
		handler = e.Handler()
	} else {
		svc := b.newService(set, server)
		b.Services[server.Name] = svc
		handler = svc.Handler()
	}
	s, err := standin.Serve(loopback, handler)
	if err != nil {
		return err
	}
	b.setServer(server.Name, s)
	return nil
}

func (b *Bed) newEngine(set *objects.Set, server *objects.BackendServer, weights string) *engine.Engine {
	config := engine.Config{
		Name:          server.Name,
		Concurrency:   server.Spec.Concurrency,
		ChecksFencing: server.Spec.ChecksFencing,
		Role:          server.Spec.Role,
		Weights:       weights,
	}
	if m := set.Models[server.Spec.Model]; m != nil {
		config.Loaded = []string{m.Name + "@" + m.Spec.Version}
		if m.Spec.SecondsPerToken > 0 {
			config.TokensPerSecond = 1 / m.Spec.SecondsPerToken
		}
		if m.Spec.SecondsPerPromptToken > 0 {
			config.PrefillTokensPerSecond = 1 / m.Spec.SecondsPerPromptToken
		}
	}
	if b.config.Engine != nil {
		b.config.Engine(server, &config)
	}
	return engine.New(config)
}

func (b *Bed) newService(set *objects.Set, server *objects.BackendServer) *service.Service {
	config := service.Config{
		Name:        server.Name,
		Concurrency: server.Spec.Concurrency,
		Duration: func(method, path string) time.Duration {
			call := set.CallOf(server.Spec.Service, method, path)
			if call == nil {
				return 0
			}
			return time.Duration(call.Seconds * float64(time.Second))
		},
	}
	if b.config.Service != nil {
		b.config.Service(server, &config)
	}
	return service.New(config)
}

// StopBackend closes a backend server's listener and connections abruptly, like
// a crash.
func (b *Bed) StopBackend(name string) {
	if s := b.server(name); s != nil {
		_ = s.Close()
	}
}

func (b *Bed) server(name string) *standin.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backendServers[name]
}

func (b *Bed) setServer(name string, s *standin.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backendServers[name] = s
}

// RestartBackend starts a stopped backend server on the same address, with an empty
// cache if it is an engine. It does nothing if the server is running.
func (b *Bed) RestartBackend(name string) error {
	s := b.server(name)
	if s == nil || !s.Closed() {
		return nil
	}
	var handler http.Handler
	if e := b.Engines[name]; e != nil {
		e.ClearCache()
		handler = e.Handler()
	} else {
		handler = b.Services[name].Handler()
	}
	next, err := standin.Serve(s.Addr(), handler)
	if err != nil {
		return err
	}
	b.setServer(name, next)
	return nil
}

package host

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	wire "github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/standin/directory"
	"github.com/chestnutspring/chestnutspring/internal/standin/engine"
	"github.com/chestnutspring/chestnutspring/internal/standin/link"
	"github.com/chestnutspring/chestnutspring/internal/standin/platform"
	"github.com/chestnutspring/chestnutspring/internal/standin/service"
	"github.com/chestnutspring/chestnutspring/internal/standin/weights"
)

// Instance describes a running stand-in.
type Instance struct{ Kind, Name, Address string }

// Host is a set of running stand-ins.
type Host struct {
	started []Instance
	closers []func()
}

// Start starts all stand-ins of a specification. On an error, none is left
// running.
func Start(spec *Spec) (*Host, error) {
	h := &Host{}
	for _, start := range []func(*Spec) error{
		h.startPlatforms, h.startEngines, h.startServices,
		h.startLinks, h.startDirectories, h.startWeights,
	} {
		if err := start(spec); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Instances returns the running stand-ins.
func (h *Host) Instances() []Instance { return h.started }

// Close stops all stand-ins.
func (h *Host) Close() {
	for _, closer := range h.closers {
		closer()
	}
}

func (h *Host) serve(kind string, endpoint Endpoint, handler http.Handler) error {
	s, err := standin.Serve(endpoint.Listen, handler)
	if err != nil {
		return err
	}
	h.add(kind, endpoint, s.Addr(), func() { _ = s.Close() })
	return nil
}

func (h *Host) add(kind string, endpoint Endpoint, address string, closer func()) {
	h.started = append(h.started, Instance{kind, endpoint.Name, address})
	h.closers = append(h.closers, closer)
}

func (h *Host) startPlatforms(spec *Spec) error {
	for _, s := range spec.Platforms {
		p := platform.New()
		if err := publish(p, s); err != nil {
			return err
		}
		if err := h.serve("platform", s.Endpoint, p.Handler("")); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the configuration, the list of VMs and the directory of a
// platform.
func publish(p *platform.Platform, s Platform) error {
	values := map[string][]byte{}
	if s.Objects != "" {
		set, err := objects.Load(s.Objects)
		if err != nil {
			return err
		}
		built, err := bundle.Build(set)
		if err != nil {
			return err
		}
		values[wire.ValueManifest] = built.Manifest
		for digest, part := range built.Parts {
			values[wire.ValuePartPrefix+digest] = part
		}
	}
	var err error
	if values[wire.ValueVMs], err = json.Marshal(wire.VMList{VMs: s.VMs}); err != nil {
		return err
	}
	if values[wire.ValueDirectory], err = json.Marshal(s.Directory); err != nil {
		return err
	}
	p.PublishAll(values)
	return nil
}

func (h *Host) startEngines(spec *Spec) error {
	for _, s := range spec.Engines {
		e := engine.New(engine.Config{
			Name: s.Name, Loaded: s.Loaded, Role: s.Role, Concurrency: s.Concurrency,
			TokensPerSecond: s.TokensPerSecond, BatchSlowdown: s.BatchSlowdown,
			PrefillTokensPerSecond: s.PrefillTokensPerSecond, CacheTokens: s.CacheTokens,
			LoadLag: s.LoadLag.AsDuration(), EventLag: s.EventLag.AsDuration(), EventGap: s.EventGap,
			ChecksFencing: s.ChecksFencing, Weights: s.Weights,
		})
		h.closers = append(h.closers, e.Close)
		if err := h.serve("engine", s.Endpoint, e.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) startServices(spec *Spec) error {
	for _, s := range spec.Services {
		svc := service.New(service.Config{
			Name: s.Name, Concurrency: s.Concurrency,
			Duration: func(string, string) time.Duration { return s.Duration.AsDuration() },
		})
		if err := h.serve("service", s.Endpoint, svc.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) startLinks(spec *Spec) error {
	for _, s := range spec.Links {
		l := link.New(link.Config{
			Delay: s.Delay.AsDuration(), Jitter: s.Jitter.AsDuration(), Loss: s.Loss,
			MegabitsPerSecond: s.MegabitsPerSecond, Seed: s.Seed,
		})
		port, err := l.ListenOn(s.Listen, link.Forward, s.Target)
		if err != nil {
			return err
		}
		h.add("link", s.Endpoint, port.Addr(), l.Close)
	}
	return nil
}

func (h *Host) startDirectories(spec *Spec) error {
	for _, s := range spec.Directories {
		d := directory.New(wire.Directory{Entries: s.Entries})
		if err := h.serve("directory", s.Endpoint, d.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) startWeights(spec *Spec) error {
	for _, s := range spec.Weights {
		w := weights.New(weights.Config{MegabytesPerSecond: s.MegabytesPerSecond, Megabytes: s.Megabytes})
		if err := h.serve("weights", s.Endpoint, w.Handler()); err != nil {
			return err
		}
	}
	return nil
}

// Package kern is a micro-kernel: services register under a name, find each
// other by name and type, and are started and stopped in order.
//
// # Usage
//
//	k := kern.New()
//	kern.Provide(k, "store", client)
//	kern.Provide(k, "cell", member) // a Service is also started by Run
//	...
//	s, err := kern.Find[store.Store](k, "store")
//	...
//	err = k.Run(ctx) // until ctx ends or a service fails
//
// Services are stopped by the end of the context that Run passes to them. A
// service that needs a graceful stop implements Stopper; Stop is called in
// reverse order of registration before the context ends.
package kern

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/fault"
)

// Service runs until its context ends.
type Service interface {
	Run(ctx context.Context) error
}

// Stopper is a service with a graceful stop, which may wait for running work.
type Stopper interface {
	Stop(ctx context.Context) error
}

type entry struct {
	name  string
	value any
}

// Kernel is a registry of services.
type Kernel struct {
	mu      sync.Mutex
	entries []entry
}

// New returns an empty kernel.
func New() *Kernel { return new(Kernel) }

// Provide registers a value under a name. A second value with the same name
// is an error of kind fault.Conflict.
func Provide[T any](k *Kernel, name string, value T) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		if e.name == name {
			return fault.New(fault.Conflict, "service "+name+" is registered twice", "register each service once")
		}
	}
	k.entries = append(k.entries, entry{name: name, value: value})
	return nil
}

// Find returns the service with the name and type.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		if e.name != name {
			continue
		}
		value, ok := e.value.(T)
		if !ok {
			return zero, fault.New(fault.KindInvalid, fmt.Sprintf("service %s is a %T, not a %T", name, e.value, zero), "ask for the registered type")
		}
		return value, nil
	}
	return zero, fault.New(fault.Missing, "service "+name+" is not registered", "register it before the services that use it")
}

// Run starts all services and waits for them. The first error ends the others.
func (k *Kernel) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, e := range k.snapshot() {
		s, ok := e.value.(Service)
		if !ok {
			continue
		}
		g.Go(func() error {
			if err := s.Run(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("service %s: %w", e.name, err)
			}
			return nil
		})
	}
	return g.Wait()
}

// Stop stops services gracefully in reverse order of registration.
func (k *Kernel) Stop(ctx context.Context) error {
	entries := k.snapshot()
	var first error
	for i := len(entries) - 1; i >= 0; i-- {
		s, ok := entries[i].value.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = fmt.Errorf("service %s: %w", entries[i].name, err)
		}
	}
	return first
}

func (k *Kernel) snapshot() []entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]entry(nil), k.entries...)
}

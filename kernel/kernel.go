// Package kernel is a service container: services are registered under a name,
// looked up by name and type, started together and stopped in reverse order.
//
// # Usage
//
//	k := kernel.New()
//	kernel.Provide(k, "store", client)
//	kernel.Provide(k, "cell", member) // if the value is a Service, Run starts it
//	...
//	s, err := kernel.Find[store.Store](k, "store")
//	...
//	err = k.Run(ctx) // returns when ctx ends or a service fails
//
// A service stops when the context that Run passes to it ends. A service that
// needs a graceful stop implements Stopper; Kernel.Stop calls its Stop in
// reverse order of registration, and the caller cancels the context afterwards.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/fault"
)

// Service is a value with background work. Run returns when ctx ends; an
// earlier error stops all services.
type Service interface {
	Run(ctx context.Context) error
}

// Stopper is a value with a graceful stop, which may wait for running work
// until ctx ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// registration is a value under its name.
type registration struct {
	name  string
	value any
}

// Kernel holds services in order of registration. It is safe for concurrent use.
type Kernel struct {
	mu            sync.Mutex
	registrations []registration
}

// New returns an empty kernel.
func New() *Kernel { return new(Kernel) }

// Provide registers a value under a name. It returns an error of kind
// fault.KindConflict if the name is taken.
func Provide[T any](k *Kernel, name string, value T) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.registrations {
		if r.name == name {
			return fault.New(fault.KindConflict, "service "+name+" is registered twice", "register each service once")
		}
	}
	k.registrations = append(k.registrations, registration{name: name, value: value})
	return nil
}

// Find returns the service with the name and type. Errors are of kind
// fault.KindMissing for an unknown name and fault.KindInvalid for another type.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.registrations {
		if r.name != name {
			continue
		}
		value, ok := r.value.(T)
		if !ok {
			return zero, fault.New(fault.KindInvalid, fmt.Sprintf("service %s is a %T, not a %T", name, r.value, zero), "ask for the registered type")
		}
		return value, nil
	}
	return zero, fault.New(fault.KindMissing, "service "+name+" is not registered", "register it before the services that use it")
}

// Run starts every registered Service and waits for all of them. The first
// error cancels the others and is returned; errors after that, or after ctx
// ended, are dropped.
func (k *Kernel) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range k.snapshot() {
		s, ok := r.value.(Service)
		if !ok {
			continue
		}
		g.Go(func() error {
			if err := s.Run(ctx); err != nil && ctx.Err() == nil {
				return fmt.Errorf("service %s: %w", r.name, err)
			}
			return nil
		})
	}
	return g.Wait()
}

// Stop calls every Stopper in reverse order of registration and returns the
// first error. An error does not keep the rest from being stopped.
func (k *Kernel) Stop(ctx context.Context) error {
	registrations := k.snapshot()
	var firstErr error
	for i := len(registrations) - 1; i >= 0; i-- {
		s, ok := registrations[i].value.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && firstErr == nil {
			firstErr = fmt.Errorf("service %s: %w", registrations[i].name, err)
		}
	}
	return firstErr
}

// snapshot copies the registrations, so that no lock is held while services run
// or stop.
func (k *Kernel) snapshot() []registration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]registration(nil), k.registrations...)
}

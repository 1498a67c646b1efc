package kernel

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"verbenaway/core"
)

// Kernel starts services in the order in which they were added and stops them in the reverse
// order. One goroutine adds the services; Lookup is safe for concurrent use after that.
type Kernel struct {
	services []core.Service
	byName   map[string]core.Service
	// running counts the services that were started and not yet stopped.
	running int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{
		byName: map[string]core.Service{},
	}
}

// Add registers a service under its name, which must be new.
func (k *Kernel) Add(service core.Service) error {
	name := service.Name()
	if _, ok := k.byName[name]; ok {
		return errors.Newf("service %q is registered twice", name)
	}
	k.byName[name] = service
	k.services = append(k.services, service)
	return nil
}

// Lookup returns the service with a name. It fails if there is none or its type is not T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	service, ok := k.byName[name].(T)
	if !ok {
		return service, errors.Newf("no service %q of the requested type", name)
	}
	return service, nil
}

// Start starts the services. If one fails, it stops those already started.
func (k *Kernel) Start(ctx context.Context) error {
	for _, service := range k.services {
		if err := service.Start(ctx); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start %s", service.Name()), k.Stop(ctx))
		}
		k.running++
	}
	return nil
}

// Stop stops the running services in reverse order and continues after a failure.
func (k *Kernel) Stop(ctx context.Context) error {
	var failed error
	for k.running > 0 {
		k.running--
		service := k.services[k.running]
		if err := service.Stop(ctx); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "stop %s", service.Name()))
		}
	}
	return failed
}

// SystemClock is a core.Clock that returns the system time.
type SystemClock struct{}

// Now implements core.Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

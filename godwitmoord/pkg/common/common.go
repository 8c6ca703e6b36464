// Package common is what every service of the daemon is given.
package common

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// Common is handed to every constructor.
type Common struct {
	Log      *zap.Logger
	Settings settings.Settings
	Texts    text.Texts
	// Self is this life of this host.
	Self    host.Identity
	Kernel  *kernel.Kernel
	Metrics metrics.Registry
	// Dialect is how callers and endpoints spell what is exchanged.
	Dialect exchange.Dialect
}

// Count adds one to the named counter.
func (c *Common) Count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

// CountBytes adds n to the named counter.
func (c *Common) CountBytes(name string, n int) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(int64(n))
}

// Package common holds the dependencies that all services of the daemon share.
package common

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// Common is passed to the constructor of each service.
type Common struct {
	Log      *zap.Logger
	Settings settings.Settings
	Texts    text.Texts
	// Self identifies this host and the incarnation of its process.
	Self    host.Identity
	Kernel  *kernel.Kernel
	Metrics metrics.Registry
	// Dialect translates the headers of messages to and from callers and endpoints.
	Dialect exchange.Dialect
	// Features are the optional parts that this deployment calls for.
	Features exchange.Features
	// Budget is the account of what this host holds; nil if that is not bounded.
	Budget *budget.Account
	// Shortages counts and logs what was given up or turned away.
	Shortages *budget.Reporter
}

// Count adds one to the named counter.
func (c *Common) Count(name string) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
}

// CountBytes adds n to the named counter.
func (c *Common) CountBytes(name string, n int) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(int64(n))
}

const (
	// sampleSize and sampleAlpha are the size of a histogram's sample and how strongly
	// it favours recent values.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Observe adds a value to the named histogram.
func (c *Common) Observe(name string, value int64) {
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	if histogram, isHistogram := c.Metrics.GetOrRegister(name, sample).(metrics.Histogram); isHistogram {
		histogram.Update(value)
	}
}

package permit

// TierCount returns the number of ranks that the core keeps a state for.
func (c *Core) TierCount() int { return len(c.tiers) }

// MeanSlowness returns the mean slowness that an endpoint stated.
func (c *Core) MeanSlowness(endpoint string) float64 { return c.endpoints[endpoint].slowness.mean }

// MeanOvershoot returns how much later than estimated the first parts of answers came.
func (c *Core) MeanOvershoot() float64 { return c.rates.overshoot.mean }

package permit

// TierCount returns the number of ranks that the core keeps a state for.
func (c *Core) TierCount() int { return len(c.tiers) }

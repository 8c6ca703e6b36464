package common

// RollsOut reports whether this deployment has rollouts of new versions of endpoints'
// software.
func (c *Common) RollsOut() bool {
	p := c.Settings.Platform
	return p != nil && p.ExposureShare > 0
}

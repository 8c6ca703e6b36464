package permit

// serviceRates is what an owner learns about all endpoints of a service together, because
// it is a property of the model that they run or of the requests that they get. The zero
// value has learned nothing.
type serviceRates struct {
	interleaving interleaving
	overshoot    overshoot
}

// learnOvershoot learns how much later than expected the first part of an answer came. Both
// times include the slowness of the endpoint. An answer without parts comes as a whole.
func (r *serviceRates) learnOvershoot(h *heldPermit, u Usage) {
	if h.ask.Goal == 0 || u.Total <= 0 {
		return
	}
	actual := u.FirstByte
	if u.PromptTokens == 0 {
		actual = u.Total
	}
	r.overshoot.learn(h.expectedFirst, actual)
}

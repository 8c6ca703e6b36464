package permit

// serviceRates is what an owner learns about all endpoints of a service together, because
// it is a property of the model that they run or of the requests that they get. The zero
// value has learned nothing.
type serviceRates struct {
	interleaving interleaving
	overshoot    overshoot
}

// learnOvershoot learns how much later than expected the first part of an answer came. An
// answer without parts comes as a whole.
func (r *serviceRates) learnOvershoot(h *heldPermit, u Usage) {
	if h.ask.Goal == 0 {
		return
	}
	if u.PromptTokens == 0 {
		r.overshoot.learn(h.expected, u.Total)
		return
	}
	r.overshoot.learn(h.expectedFirst, u.FirstByte)
}

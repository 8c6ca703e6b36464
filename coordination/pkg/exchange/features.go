package exchange

// Features are optional parts of the product, which take effect only in deployments that
// call for them. The zero value has none.
type Features struct {
	// FairShare divides what endpoints can do between the customers that compete for it,
	// by their quotas.
	FairShare bool
	// SpoolAnswers frees an endpoint whose answer is complete although its caller has
	// not read it yet.
	SpoolAnswers bool
}

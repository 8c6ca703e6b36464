package deployment

import "time"

// Generation is the speed of one accelerator generation. Prefill and Decode are
// in tokens/s. Step is the time of a decode step with one request, StepEach the
// time that each further request adds.
type Generation struct {
	Prefill  float64
	Decode   float64
	Step     time.Duration
	StepEach time.Duration
}

// Generations are four accelerator generations, fastest first.
var Generations = []Generation{
	{Prefill: 16000, Decode: 140, Step: 6 * time.Millisecond, StepEach: 200 * time.Microsecond},
	{Prefill: 10000, Decode: 90, Step: 9 * time.Millisecond, StepEach: 300 * time.Microsecond},
	{Prefill: 6000, Decode: 60, Step: 14 * time.Millisecond, StepEach: 400 * time.Microsecond},
	{Prefill: 3500, Decode: 40, Step: 22 * time.Millisecond, StepEach: 600 * time.Microsecond},
}

// Plan is the size and the variant of a deployment to start.
type Plan struct {
	// Kind is the example deployment: "hsu" or "kerbrat".
	Kind    string
	Hosts   int
	Engines int
	Desks   int
	// Generations are assigned to the engines in rotation.
	Generations []Generation
	// Record makes the hosts write a record of every decision to their logs.
	Record bool
	// GoodputWeight overrides the goodput weight of the deployment, unless nil.
	GoodputWeight *float64
	// InFlight overrides the in-flight limit of each engine, unless zero.
	InFlight int
}

// CurrentSizePlan returns a Plan with as many engines and application endpoints as
// today's deployments have.
func CurrentSizePlan(kind string, hosts int) Plan {
	return Plan{Kind: kind, Hosts: hosts, Engines: 10, Desks: 3, Generations: Generations}
}

// Plan returns the Plan that the deployment was started with.
func (d *Deployment) Plan() Plan { return d.plan }

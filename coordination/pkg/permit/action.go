package permit

import "time"

// Reason is why a request was refused.
type Reason string

// A request is refused for one of these reasons.
const (
	// TooLate means that no endpoint can finish the request in time any more.
	TooLate Reason = "deadline"
	// QueueFull means that the queue is full and all waiting requests are of the
	// same tier or a higher one.
	QueueFull Reason = "queue-full"
	// Displaced means that a request of a higher tier took the place in the full
	// queue.
	Displaced Reason = "displaced"
	// OverQuota means that the customer has used up its quota for the current window.
	OverQuota Reason = "over-quota"
	// Crowded means that the work queued before the request takes longer than the
	// request can wait.
	Crowded Reason = "crowded"
	// NoRepeat means that the retry budget is exhausted.
	NoRepeat Reason = "no-repeat"
)

// Action is a decision of the core. It is one of Granted, Refused and Suspended.
type Action interface{ action() }

type (
	// Granted permits the host to send the request to the endpoint.
	Granted struct {
		ID       string `json:"id"`
		Host     string `json:"host"`
		Endpoint string `json:"endpoint"`
		// Waited is the time since the request was asked for.
		Waited time.Duration `json:"waited"`
		// Estimate is how long the request is expected to take at the endpoint.
		Estimate time.Duration `json:"estimate"`
		// ReportFirstPart asks the host to report the first part with Progressed,
		// because few prompts have been measured at the endpoint.
		ReportFirstPart bool `json:"teach,omitempty"`
		// Rates holds the learned rates of the endpoint, or is nil if none are known.
		// The host passes it on to the next owner.
		Rates *LearnedRates `json:"pace,omitempty"`
	}
	// Suspended stops a running request to free its slot for a higher tier. The
	// host cancels the attempt, returns the permit and asks again.
	Suspended struct {
		ID   string `json:"id"`
		Host string `json:"host"`
		// For is the ID of the ask that needs the slot.
		For string `json:"for"`
	}
	// Refused ends an ask without a permit: the request was not sent.
	Refused struct {
		ID         string        `json:"id"`
		Host       string        `json:"host"`
		Reason     Reason        `json:"reason"`
		RetryAfter time.Duration `json:"retry-after"`
		// Waited is the time since the request was asked for.
		Waited time.Duration `json:"waited"`
	}
)

func (Granted) action()   {}
func (Refused) action()   {}
func (Suspended) action() {}

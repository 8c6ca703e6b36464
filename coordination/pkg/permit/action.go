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
	// OwnerLate means that the owner received the ask too long ago to decide it in time.
	OwnerLate Reason = "owner-late"
	// OwnerSilent means that no owner said in time that it has the ask.
	OwnerSilent Reason = "owner-silent"
	// AllPaused means that each endpoint wants no request of the request's host until it
	// is too late to start it.
	AllPaused Reason = "all-paused"
	// Held means that a part of the request's prompt, or the request itself, crashes
	// endpoints.
	Held Reason = "crashes-endpoints"
)

// Action is a decision of the core. It is one of Granted, Queued, Refused, Suspended,
// CrashFound, PartsHeld, PartsCleared, LimitChanged and Judged.
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
		// Limit is the limit that the endpoint names, as far as this owner knows; nil if
		// it names none.
		Limit *RateLimit `json:"limit,omitempty"`
		// Slowness is what this owner last heard of the endpoint's slowness; zero if that
		// was usual, or nothing. The host reports one that differs.
		Slowness float64 `json:"slowness,omitempty"`
		// Leaves is set if the request leaves its data centre at a cost.
		Leaves bool `json:"leaves,omitempty"`
	}
	// Queued tells a host which of its requests wait for a slot, once for each of them
	// that was not granted at once. The host can then tell a request that waits from one
	// that its owner has not looked at.
	Queued struct {
		Host string   `json:"host"`
		IDs  []string `json:"ids"`
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
		// Held is the key of the parts for which the request is held; empty for other
		// reasons.
		Held string `json:"held,omitempty"`
		// BeyondShare is the customer of a request that was refused because it is
		// beyond the share of its customer; empty for others.
		BeyondShare string `json:"beyond-share,omitempty"`
		// Again is set if the request had been refused before and came back when it was
		// told to.
		Again bool `json:"again,omitempty"`
		// Reserved is set if slots had been reserved for the request as well.
		Reserved bool `json:"reserved,omitempty"`
	}
	// CrashFound reports that an endpoint crashed with requests that it had not begun
	// to answer. Other owners have to learn of it.
	CrashFound struct {
		Crash Crash `json:"crash"`
	}
	// PartsHeld reports that requests with certain parts are refused from now on. All
	// hosts have to learn of it.
	PartsHeld struct {
		Held HeldParts `json:"held"`
	}
	// PartsCleared reports that parts are not held any more, because an endpoint
	// answered a request with them, or with some of them.
	PartsCleared struct {
		Key string `json:"key"`
	}
	// LimitChanged reports that an endpoint named another limit, or none any more.
	LimitChanged struct {
		Limit RateLimit `json:"limit"`
	}
)

func (Granted) action()   {}
func (Refused) action()   {}
func (Queued) action()    {}
func (Suspended) action() {}

func (CrashFound) action()   {}
func (PartsHeld) action()    {}
func (PartsCleared) action() {}
func (LimitChanged) action() {}

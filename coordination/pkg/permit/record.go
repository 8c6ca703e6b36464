package permit

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Line is one entry of a decision record: an event and the actions it caused.
type Line struct {
	Service string `json:"service"`
	// Owner is the host that made the decision.
	Owner string `json:"owner"`
	// Epoch identifies a period of decisions by one owner. A new epoch begins when
	// the owner starts with an empty state.
	Epoch int64 `json:"epoch"`
	// Number counts the events of an epoch from 1.
	Number  int64           `json:"number"`
	Kind    string          `json:"kind"`
	Event   json.RawMessage `json:"event"`
	Actions []ActionLine    `json:"actions,omitempty"`
}

// ActionLine is one action in a decision record.
type ActionLine struct {
	Kind   string          `json:"kind"`
	Action json.RawMessage `json:"action"`
}

// UnknownKindError reports that a record holds an event that this version cannot
// decode.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("the record holds an event of kind %q; read it with the version that wrote it", e.Kind)
}

// WithDecision returns a copy of the line that holds the event and its actions.
func (l Line) WithDecision(event Event, actions []Action) (Line, error) {
	data, err := json.Marshal(event)
	if err != nil {
		return l, errors.Wrap(err, "encode event")
	}
	l.Kind, l.Event = kindOf(event), data
	l.Actions = make([]ActionLine, 0, len(actions))
	for _, action := range actions {
		encoded, err := json.Marshal(action)
		if err != nil {
			return l, errors.Wrap(err, "encode action")
		}
		l.Actions = append(l.Actions, ActionLine{Kind: actionKind(action), Action: encoded})
	}
	return l, nil
}

// Decode returns the event of the line.
func (l Line) Decode() (Event, error) {
	switch l.Kind {
	case "configured":
		return decode[Configured](l.Event)
	case "asked":
		return decode[Asked](l.Event)
	case "withdrawn":
		return decode[Withdrawn](l.Event)
	case "finished":
		return decode[Finished](l.Event)
	case "progressed":
		return decode[Progressed](l.Event)
	case "failed":
		return decode[Failed](l.Event)
	case "stalled":
		return decode[Stalled](l.Event)
	case "regained":
		return decode[Regained](l.Event)
	case "shared":
		return decode[Shared](l.Event)
	case "warned":
		return decode[Warned](l.Event)
	case "limited":
		return decode[Limited](l.Event)
	case "slowed":
		return decode[Slowed](l.Event)
	case "measured":
		return decode[Measured](l.Event)
	case "paused":
		return decode[Paused](l.Event)
	case "listed":
		return decode[Listed](l.Event)
	case "settled":
		return decode[Settled](l.Event)
	case "reported":
		return decode[Reported](l.Event)
	case "marked":
		return decode[Marked](l.Event)
	case "steered":
		return decode[Steered](l.Event)
	case "host-lost":
		return decode[HostLost](l.Event)
	case "ticked":
		return decode[Ticked](l.Event)
	default:
		return nil, &UnknownKindError{Kind: l.Kind}
	}
}

func decode[E Event](data []byte) (Event, error) {
	var event E
	err := json.Unmarshal(data, &event)
	return event, errors.Wrap(err, "decode event")
}

func kindOf(event Event) string {
	switch event.(type) {
	case Configured:
		return "configured"
	case Asked:
		return "asked"
	case Withdrawn:
		return "withdrawn"
	case Finished:
		return "finished"
	case Progressed:
		return "progressed"
	case Failed:
		return "failed"
	case Stalled:
		return "stalled"
	case Shared:
		return "shared"
	case Regained:
		return "regained"
	case Warned:
		return "warned"
	case Limited:
		return "limited"
	case Slowed:
		return "slowed"
	case Measured:
		return "measured"
	case Paused:
		return "paused"
	case Listed:
		return "listed"
	case Settled:
		return "settled"
	case Reported:
		return "reported"
	case Marked:
		return "marked"
	case Steered:
		return "steered"
	case HostLost:
		return "host-lost"
	case Ticked:
		return "ticked"
	default:
		return "unknown"
	}
}

func actionKind(action Action) string {
	switch action.(type) {
	case Granted:
		return "granted"
	case Refused:
		return "refused"
	case Queued:
		return "queued"
	case Suspended:
		return "suspended"
	case CrashFound:
		return "crash-found"
	case PartsHeld:
		return "parts-held"
	case LimitChanged:
		return "limit-changed"
	case PartsCleared:
		return "parts-cleared"
	case Judged:
		return "judged"
	default:
		return "unknown"
	}
}

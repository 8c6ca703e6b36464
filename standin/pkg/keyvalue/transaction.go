package keyvalue

import "net/http"

const maxValueBytes = 1 << 20

type (
	compareWire struct {
		Key            []byte `json:"key"`
		Target         string `json:"target"`
		Result         string `json:"result"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	}
	operationWire struct {
		Put   *putRequest   `json:"request_put"`
		Range *rangeRequest `json:"request_range"`
	}
	txnRequest struct {
		Compare []compareWire   `json:"compare"`
		Success []operationWire `json:"success"`
		Failure []operationWire `json:"failure"`
	}
	responseWire struct {
		Put   *struct{}   `json:"response_put,omitempty"`
		Range *rangeReply `json:"response_range,omitempty"`
	}
	txnReply struct {
		Header    headerWire     `json:"header"`
		Succeeded bool           `json:"succeeded"`
		Responses []responseWire `json:"responses"`
	}
)

// applyTxn applies a transaction. If its reply is to be lost, it ends the handler
// without one, and the server closes the connection; s.mu is held.
func (s *Service) applyTxn(request txnRequest) (reply txnReply, problem string) {
	s.calls.Writes++
	reply, problem = s.transact(request)
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
	return reply, problem
}

func (s *Service) transact(request txnRequest) (txnReply, string) {
	s.expire()
	reply := txnReply{Succeeded: s.conditionsMet(request.Compare)}
	operations := request.Failure
	if reply.Succeeded {
		operations = request.Success
	}
	for _, o := range operations {
		switch {
		case o.Put != nil:
			if problem := s.put(o.Put); problem != "" {
				return txnReply{}, problem
			}
			reply.Responses = append(reply.Responses, responseWire{Put: &struct{}{}})
		case o.Range != nil:
			found := s.lookup(o.Range.Key)
			reply.Responses = append(reply.Responses, responseWire{Range: &found})
		}
	}
	reply.Header.Revision = s.revision
	return reply, ""
}

func (s *Service) conditionsMet(compares []compareWire) bool {
	for _, c := range compares {
		e := s.entries[string(c.Key)]
		actual, expected := e.modRevision, c.ModRevision
		if c.Target == "CREATE" {
			actual, expected = e.createRevision, c.CreateRevision
		}
		met := actual == expected
		if c.Result == "GREATER" {
			met = actual > expected
		}
		if !met {
			return false
		}
	}
	return true
}

func (s *Service) put(p *putRequest) string {
	if len(p.Value) > maxValueBytes {
		return "etcdserver: request is too large"
	}
	if _, exists := s.leases[p.Lease]; p.Lease != 0 && !exists {
		return "etcdserver: requested lease not found"
	}
	s.revision++
	e := s.entries[string(p.Key)]
	if e.createRevision == 0 {
		e.createRevision = s.revision
	}
	e.modRevision = s.revision
	e.value = p.Value
	e.lease = p.Lease
	s.entries[string(p.Key)] = e
	return ""
}

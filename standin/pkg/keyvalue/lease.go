package keyvalue

import "time"

type (
	leaseRequest struct {
		TTL int64 `json:"TTL,string"`
	}
	leaseReply struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
)

// grantLease creates a lease; s.mu is held.
func (s *Service) grantLease(request leaseRequest) (reply leaseReply, problem string) {
	s.calls.Writes++
	s.revision++
	id := s.revision
	s.leases[id] = time.Now().Add(time.Duration(request.TTL) * time.Second)
	return leaseReply{ID: id, TTL: request.TTL}, ""
}

// expire removes the leases that have run out and the entries attached to them.
// The caller holds s.mu.
func (s *Service) expire() {
	now := time.Now()
	for id, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id {
				delete(s.entries, key)
			}
		}
	}
}

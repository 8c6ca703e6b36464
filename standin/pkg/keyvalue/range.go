package keyvalue

type (
	headerWire struct {
		Revision int64 `json:"revision,string"`
	}
	entryWire struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
	}
	rangeRequest struct {
		Key []byte `json:"key"`
	}
	rangeReply struct {
		Header  headerWire  `json:"header"`
		Entries []entryWire `json:"kvs,omitempty"`
	}
)

// readRange returns the entry of one key; s.mu is held.
func (s *Service) readRange(request rangeRequest) (reply rangeReply, problem string) {
	s.calls.Reads++
	reply = s.lookup(request.Key)
	if s.faults.Stale {
		reply.Entries = encodeEntry(s.staleEntries, request.Key)
	}
	return reply, ""
}

func (s *Service) lookup(key []byte) rangeReply {
	s.expire()
	return rangeReply{Header: headerWire{Revision: s.revision}, Entries: encodeEntry(s.entries, key)}
}

func encodeEntry(entries map[string]entry, key []byte) []entryWire {
	e, found := entries[string(key)]
	if !found {
		return nil
	}
	return []entryWire{{Key: key, Value: e.value, CreateRevision: e.createRevision, ModRevision: e.modRevision}}
}

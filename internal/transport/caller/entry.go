package caller

import (
	"context"
	"net/http"
	"strings"

	"lagoongw/internal/transport/httpapi"

	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/protocol/wire"
)

// entryVMs tells a caller which entry VMs to use, and for how long to keep the answer.
func (s *Server) entryVMs(w http.ResponseWriter, r *http.Request) {
	members := s.Members()
	team := r.URL.Query().Get("team")
	zone := r.URL.Query().Get("availability-zone")
	if zone == "" {
		zone = s.Location.AvailabilityZone
	}
	place := entry.Location{
		AvailabilityZone: zone,
		Region:           entry.RegionOf(members, zone, s.Location.Region),
	}
	httpapi.WriteJSON(w, http.StatusOK, wire.EntryAnswer{
		Addresses: entry.Order(members, team, place),
		KeepMs:    int(s.EntryAnswerTTL.Milliseconds()),
	})
}

// requestStatus tells the team that sent a request what became of it.
func (s *Server) requestStatus(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	if e := s.identify(r, j); e != nil {
		s.end(w, j, *e)
		return
	}
	id := r.PathValue("id")
	status, known := s.lookUp(r.Context(), id)
	if !known || status.Team != j.team.Name() {
		httpapi.WriteJSON(w, http.StatusNotFound, wire.RequestStatus{
			ID:      id,
			Outcome: "unknown",
			Reason:  "not remembered at this entry VM, nor at the one that took the request",
		})
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, status)
}

// lookUp asks this node, or else the member whose name the request ID begins with.
func (s *Server) lookUp(ctx context.Context, id string) (wire.RequestStatus, bool) {
	if status, known := s.Outcomes.Get(id); known || s.FetchPeerStatus == nil {
		return status, known
	}
	for _, m := range s.Members() {
		if m.Name != s.Name && strings.HasPrefix(id, m.Name+"-") {
			if status, known := s.FetchPeerStatus(ctx, m.Name, id); known {
				return status, true
			}
		}
	}
	return wire.RequestStatus{}, false
}

package caller

import (
	"context"
	"net/http"
	"strings"

	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/httpapi"
)

// entryVMs answers with the addresses of the entry VMs to use, nearest first, and how long to cache them.
func (s *Server) entryVMs(w http.ResponseWriter, r *http.Request) {
	members := s.Members()
	team := r.URL.Query().Get("team")
	zone := r.URL.Query().Get("availability-zone")
	if zone == "" {
		zone = s.Location.AvailabilityZone
	}
	location := entry.Location{
		AvailabilityZone: zone,
		Region:           entry.RegionOf(members, zone, s.Location.Region),
	}
	httpapi.WriteJSON(w, http.StatusOK, wire.EntryAnswer{
		Addresses: entry.Order(members, team, location),
		KeepMs:    int(s.EntryAnswerTTL.Milliseconds()),
	})
}

// requestStatus answers with the status of a request, but only to the team that sent it.
func (s *Server) requestStatus(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	if e := s.authenticate(r, j); e != nil {
		s.writeError(w, j, *e)
		return
	}
	id := r.PathValue("id")
	status, known := s.lookUpStatus(r.Context(), id)
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

// lookUpStatus returns the status stored at this node or, failing that, at a member whose name is a prefix of the ID.
func (s *Server) lookUpStatus(ctx context.Context, id string) (wire.RequestStatus, bool) {
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

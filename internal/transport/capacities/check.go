package capacities

import (
	"context"
	"errors"

	"lagoongw/internal/transport/duties"
)

// noteAnswer notes a refused spot order and an accepted check. A refused spot order may mean that no spot upstreams are available
// or that the platform has seen a higher number, so the first one with a number leads to a check of the number. It is called with
// mu held.
func (s *Service) noteAnswer(order planned, err error) {
	if order.checks && err == nil {
		s.checkedNumber = s.number
	}
	if order.Spot && errors.Is(err, duties.ErrRefused) && s.check == nil && s.checkedNumber != s.number {
		s.check = &order
	}
}

// dueCheck returns the order that checks the number, if one is due: it repeats the ordered number of upstreams on demand in the
// zone of the refused spot order, so that it changes nothing. A refusal of it can only mean a higher number.
func (s *Service) dueCheck() (check planned, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.check == nil {
		return planned{}, false
	}
	check = *s.check
	check.Spot, check.more, check.Reason, check.checks = false, 0, "check of the number", true
	for _, order := range check.planner.Ordered() {
		if order.Zone == check.Zone && !order.Spot {
			check.Desired = order.Desired
		}
	}
	return check, true
}

// sendCheck sends the order that checks the number and reports whether further orders may be sent. A check that was not answered
// remains due; one that was rejected for another reason follows the next refused spot order again.
func (s *Service) sendCheck(ctx context.Context, check planned) bool {
	if !s.sendOne(ctx, check) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check = nil
	return true
}

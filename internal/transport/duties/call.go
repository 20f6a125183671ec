package duties

import (
	"context"
	"errors"

	"lagoongw/internal/coordination/duty"
)

// Call sends a call to the platform API if this node still holds the lease with a number, and within the limit of calls
// and the back-off after failures. It returns ErrNotHolder or ErrBusy without sending otherwise, and else the error of
// send. It notes a platform API that can't be reached; Refused remains to be called after ErrRefused.
func (s *Service) Call(ctx context.Context, number int, send func(ctx context.Context) error) error {
	var began duty.Reading
	err := ErrNotHolder
	s.update(func(now duty.Reading) {
		began = now
		current, held := s.election.Held(now)
		switch {
		case !held || current != number:
		case !s.pace.Allow(now.Boot):
			err = ErrBusy
		default:
			err = nil
		}
	})
	if err != nil {
		return err
	}
	err = send(ctx)
	s.update(func(now duty.Reading) {
		switch {
		case err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrRejected):
			s.pace.Answered()
		case errors.Is(err, ErrBusy) || errors.Is(err, ErrFailed):
			s.pace.TurnedAway(began.Boot, now.Boot)
		case !errors.Is(ctx.Err(), context.Canceled):
			s.pace.Unanswered(began.Boot, now.Boot)
		}
	})
	return err
}

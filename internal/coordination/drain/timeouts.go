package drain

import "time"

const (
	// refuseAfterShare is the share of the grace period in which a leaving node accepts all requests, and maxRefuseAfter the
	// longest such time: about as long as callers cache the directory's answer. The rest of the grace period is for the
	// answers.
	refuseAfterShare = 0.3
	maxRefuseAfter   = 2500 * time.Millisecond
	// timeoutShare is the share of the grace period after which requests in flight are ended. What is left until the platform
	// kills the process has to do also where it gets little processor time.
	timeoutShare = 0.87
	// stopShare is the share of the grace period for which the last answers and the calls in flight of background work are
	// waited for after that.
	stopShare = 0.03
)

// Timeouts are the times of a drain.
type Timeouts struct {
	// RefuseAfter and Timeout are those of a StateMachine.
	RefuseAfter, Timeout time.Duration
	// Stop is how long the last answers and calls are waited for after the drain.
	Stop time.Duration
}

// TimeoutsFor returns the times of a drain for the time from the stop signal until the platform kills the process.
func TimeoutsFor(grace time.Duration) Timeouts {
	return Timeouts{
		RefuseAfter: min(share(grace, refuseAfterShare), maxRefuseAfter),
		Timeout:     share(grace, timeoutShare),
		Stop:        share(grace, stopShare),
	}
}

func share(whole time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(whole))
}

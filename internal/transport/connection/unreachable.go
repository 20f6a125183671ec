package connection

// UnreachableError is returned when no connection to an upstream could be opened, and this entry VM's path to it may be at
// fault.
type UnreachableError struct {
	// Confirmed reports that the upstream is at fault: another entry VM, which reaches others, could not connect to it either,
	// or there is none.
	Confirmed bool
	// Cause is the error of the last connect.
	Cause error
}

// Error returns the cause, and whether the path may be at fault.
func (e *UnreachableError) Error() string {
	if e.Confirmed {
		return e.Cause.Error()
	}
	return e.Cause.Error() + "; this entry VM's path may be at fault"
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

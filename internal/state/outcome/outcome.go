package outcome

// Outcome is the result of a request.
type Outcome string

// The outcomes of a request. Unknown means that the request may have run.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	NotRun    Outcome = "not-run"
	Failed    Outcome = "failed"
	Unknown   Outcome = "unknown"
)

// Final reports whether the outcome can no longer change at this node.
func (o Outcome) Final() bool {
	return o != Running
}

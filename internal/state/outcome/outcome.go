package outcome

// Outcome tells what became of a request.
type Outcome string

// The outcomes of a request.
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

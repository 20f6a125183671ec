package fleet

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// RunProgram calls run with a context that SIGINT and SIGTERM cancel, and exits with status 1 if run returns an error.
func RunProgram(name string, run func(ctx context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// CountRepeated returns the number of orders that were executed more than once; executions is the result of
// Fleet.Executions.
func CountRepeated(executions map[string]int) int {
	repeated := 0
	for _, count := range executions {
		if count > 1 {
			repeated++
		}
	}
	return repeated
}

package fleet

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// RunProgram runs a test program until it is done or interrupted, and exits with its verdict.
func RunProgram(name string, run func(ctx context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}

// CountRepeated counts the keys that ran more than once.
func CountRepeated(executions map[string]int) int {
	twice := 0
	for _, count := range executions {
		if count > 1 {
			twice++
		}
	}
	return twice
}

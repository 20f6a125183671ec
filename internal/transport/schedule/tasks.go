package schedule

import (
	"context"
	"sync"
	"time"
)

// Tasks runs the background work of a service until Stop; the zero value is ready to use.
type Tasks struct {
	mu      sync.Mutex
	group   sync.WaitGroup
	stopped bool
	// stopping ends when Stop is called, running when it gives up waiting for the work.
	stopping, running context.Context
	stop, cancel      context.CancelFunc
}

// Go calls run in a goroutine of its own, and reports whether it does: after Stop it doesn't. The context ends when Stop gives
// up waiting.
func (t *Tasks) Go(run func(ctx context.Context)) bool {
	return t.start(func(_, running context.Context) { run(running) })
}

// After calls run after d, unless Stop is called sooner.
func (t *Tasks) After(d time.Duration, run func(ctx context.Context)) bool {
	return t.start(func(stopping, running context.Context) {
		Pause(stopping, d)
		if stopping.Err() == nil {
			run(running)
		}
	})
}

func (t *Tasks) start(run func(stopping, running context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	if t.running == nil {
		t.running, t.cancel = context.WithCancel(context.Background())
		t.stopping, t.stop = context.WithCancel(t.running)
	}
	stopping, running := t.stopping, t.running
	t.group.Go(func() { run(stopping, running) })
	return true
}

// Stop starts no more work and waits for what runs. Once ctx ends, it cancels that, and waits until it has returned.
func (t *Tasks) Stop(ctx context.Context) {
	t.mu.Lock()
	t.stopped = true
	started := t.running != nil
	t.mu.Unlock()
	if !started {
		return
	}
	t.stop()
	defer t.cancel()
	defer context.AfterFunc(ctx, t.cancel)()
	t.group.Wait()
}

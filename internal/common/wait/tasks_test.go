package wait_test

import (
	"context"
	"testing"

	"sassafrasplank.example/sassafrasplank/internal/common/wait"
)

func TestTasks(t *testing.T) {
	var tasks wait.Tasks
	if err := tasks.Wait(context.Background()); err != nil {
		t.Errorf("without a task: got %v, want none", err)
	}
	end := make(chan struct{})
	for range 2 {
		tasks.Go(func() { <-end })
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := tasks.Wait(ctx); err == nil {
		t.Error("while tasks run: got no error at the end of the context")
	}
	close(end)
	if err := tasks.Wait(context.Background()); err != nil {
		t.Errorf("got %v, want none", err)
	}
}

package commands

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/phuslu/log"
)

// settingsWatcher checks a settings file on each SIGHUP and logs the result. A host
// continues with the settings that it has started with. Changes apply at its next
// start.
type settingsWatcher[T any] struct {
	path string
	load func(path string) (T, error)
	// current are the settings of the host.
	current T
	log     *log.Logger
}

// start handles SIGHUP until ctx ends or end is called.
func (w *settingsWatcher[T]) start(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go w.run(ctx, signals)
	return func() {
		signal.Stop(signals)
		cancel()
	}
}

func (w *settingsWatcher[T]) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			cfg, err := w.load(w.path)
			event := w.log.Info()
			if err != nil {
				event = w.log.Error().Err(err)
			}
			event.Str("part", "entry").Str("file", w.path).Bool("changed", err == nil && !reflect.DeepEqual(cfg, w.current)).
				Msg("entry: settings file checked, changes apply at the next start")
		}
	}
}

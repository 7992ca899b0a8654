package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/platform"
)

type platformCmd struct {
	Config          string `env:"GW_CONFIG" type:"path" placeholder:"FILE" help:"Configuration as the platform writes it, JSON; $GW_CONFIG where not given."`
	Log             string `enum:"trace,debug,info,warn,error" default:"info" help:"What is logged to standard error; trace: each message."`
	ModuleRecording string `type:"path" placeholder:"FILE" help:"Record the module's steps, for replay."`
	DeprecatedTap   string `name:"tap" replacement:"module-recording" type:"path" placeholder:"FILE" help:"Deprecated: use --module-recording; removed in 0.2.0."`
}

// Run runs a scheduler on the platform until SIGTERM, and then shuts it down gracefully. On SIGHUP it reloads the
// configuration.
func (c *platformCmd) Run(ctx context.Context, std *streams) error {
	if c.Config == "" {
		return usageError{errors.New("platform: no configuration: give --config or set GW_CONFIG")}
	}
	reload, stop := notifyReload()
	defer stop()
	err := platform.Run(platform.Options{ConfigPath: c.Config, RecordingPath: c.ModuleRecording, Log: std.newLogger(c.Log)},
		ctx.Done(), reload)
	if errors.Is(err, platformfront.ErrConfig) {
		return usageError{err}
	}
	return err
}

// notifyReload returns a channel that receives for each SIGHUP until stop is called.
func notifyReload() (hangups <-chan struct{}, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reloads, stopped := make(chan struct{}), make(chan struct{})
	var forwarder sync.WaitGroup
	forwarder.Go(func() {
		for {
			select {
			case <-signals:
			case <-stopped:
				return
			}
			select {
			case reloads <- struct{}{}:
			case <-stopped:
				return
			}
		}
	})
	return reloads, func() {
		signal.Stop(signals)
		close(stopped)
		forwarder.Wait()
	}
}

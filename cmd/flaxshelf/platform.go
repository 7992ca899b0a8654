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
	Config          string `env:"GW_CONFIG" type:"path" placeholder:"FILE" help:"Configuration of the platform, in JSON."`
	Log             string `enum:"trace,debug,info,warn,error" default:"info" help:"Log level; trace logs each message."`
	ModuleRecording string `type:"path" placeholder:"FILE" help:"Record the steps of the placer to this file, for replay."`
	DeprecatedTap   string `name:"tap" replacement:"module-recording" type:"path" placeholder:"FILE" help:"Deprecated: use --module-recording; removed in 0.2.0."`
}

// Run runs a scheduler on the platform until SIGTERM or an interrupt, and then shuts it down gracefully. On SIGHUP it reloads
// the configuration.
func (c *platformCmd) Run(ctx context.Context, std *streams) error {
	if c.Config == "" {
		return usageError{errors.New("no configuration file: expected --config or GW_CONFIG to be set")}
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

// notifyReload returns a channel that receives a value after a SIGHUP, until stop is called. A signal may be
// dropped while earlier ones are pending, since those cause a reload anyway.
func notifyReload() (reload <-chan struct{}, stop func()) {
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

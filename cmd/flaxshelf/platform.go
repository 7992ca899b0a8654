package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/platform"
)

type platformCmd struct {
	Config string `env:"GW_CONFIG" type:"path" placeholder:"FILE" help:"Configuration as the platform writes it, JSON; $GW_CONFIG where not given."`
	Log    string `enum:"trace,debug,info,warn,error" default:"info" help:"What is logged to standard error; trace: each message."`
	Tap    string `type:"path" placeholder:"FILE" help:"Record the module's steps, for replay."`
}

// Run runs a scheduler on the platform until SIGTERM; then it serves what still comes, answers all, and leaves. SIGHUP
// has the configuration read again.
func (c *platformCmd) Run(e *env) error {
	if c.Config == "" {
		return errUsage{errors.New("platform: no configuration: give --config or set GW_CONFIG")}
	}
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	reload, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		for {
			select {
			case <-hups:
				select {
				case reload <- struct{}{}:
				case <-stopped:
					return
				}
			case <-stopped:
				return
			}
		}
	}()
	defer close(stopped)
	err := platform.Run(platform.Options{Config: c.Config, Tap: c.Tap, Log: logger(e.err, c.Log)}, e.ctx.Done(), reload)
	if errors.Is(err, platformfront.ErrConfig) {
		return errUsage{err}
	}
	return err
}

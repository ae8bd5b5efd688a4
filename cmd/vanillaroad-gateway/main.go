// Command vanillaroad-gateway is the daemon for the users' platform. It runs on
// every entry VM and forwards the plain HTTP requests of callers to targets.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/gateway"
)

func main() {
	path := flag.String("settings", "/etc/vanillaroad/settings.json", "settings file")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // at once: without a handler the signal ends the process
	s, err := gateway.LoadSettings(path)
	if err != nil {
		return err
	}
	output := event.NewAsyncWriter(os.Stdout)
	defer output.Close()
	g, err := gateway.New(s, output)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go g.WatchSettings(ctx, path, reload)
	return g.Run(ctx)
}

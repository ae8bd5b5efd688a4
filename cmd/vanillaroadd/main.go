// Command vanillaroadd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/vanillaroad/vanillaroad/node"
	"github.com/vanillaroad/vanillaroad/settings"
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
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	n, err := node.New(s, os.Stdout)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return n.Run(ctx)
}

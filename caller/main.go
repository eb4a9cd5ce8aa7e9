package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"arbutuswing.example/caller/internal/drive"
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"JSON file with the settings"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := drive.Run(ctx, opts.Settings, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "aw-caller:", err)
		os.Exit(1) //nolint:gocritic // the process ends, so the signal handler needs no restoring
	}
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"arbutuswing.example/ctl/internal/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, cmds.Config{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}

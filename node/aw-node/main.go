package main

import (
	"os"

	"arbutuswing.example/node/internal/cmds"
)

func main() { os.Exit(cmds.Run(os.Stdout, os.Stderr, os.Args[1:])) }

// Package app runs the operators' command line.
//
// # Usage
//
//	godwitmoor validate hsu.jsonc
//	godwitmoor apply --key-value http://127.0.0.1:2379 --host http://127.0.0.1:9101 --wait hsu.jsonc
package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/godwitmoor/pkg/commands"
)

// Main runs the command and exits with its status: 0 if it succeeded, 1 if it failed,
// 2 if a check found only warnings.
func Main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "godwitmoor",
		Usage:    "operate a deployment of godwitmoor",
		Commands: commands.All(os.Stdout),
	}
	err := root.Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return commands.ExitStatus(err)
}

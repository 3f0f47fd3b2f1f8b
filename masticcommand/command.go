// Package masticcommand holds the subcommands of the masticladder program.
package masticcommand

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"masticladder/masticerror"
	"masticladder/masticsettings"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitRefused  = 3
	ExitUnknown  = 4
	exitCodeHelp = `Exit codes: 0 done; 1 failed; 2 wrong usage or settings; 3 refused, nothing was changed;
4 the outcome is not known, or the change is committed but not yet in force everywhere.`
)

// output is the writer of the commands' results; errors go to standard error.
var output io.Writer = os.Stdout

type subcommand struct {
	name, short, long string
	command           any
}

func subcommands() []subcommand {
	return []subcommand{
		{"demo", "Run one host with stand-in backend servers", demoHelp, &demoCommand{}},
		{"run", "Run a host", runHelp, &runCommand{}},
		{"check", "Check a settings file", checkHelp, &checkCommand{}},
		{"key", "List, issue and withdraw callers' keys", keyHelp, &keyCommand{}},
		{"profile", "List, show and publish profiles", profileHelp, &profileCommand{}},
		{"host", "List, add and retire hosts", hostHelp, &hostCommand{}},
		{"server", "List, add and retire backend servers", serverHelp, &serverCommand{}},
		{"rollout", "Move a service to another software version", rolloutHelp, &rolloutCommand{}},
		{"member", "Change which hosts keep the replicated log", memberHelp, &memberCommand{}},
		{"repair", "Empty a damaged data folder", repairHelp, &repairCommand{}},
		{"usage", "Show and cross-check the usage of each owner", usageHelp, &usageCommand{}},
		{"status", "Show the state of the control group", statusHelp, &statusCommand{}},
		{"explain", "Find in the logs why a request ended as it did", explainHelp, &explainCommand{}},
		{"measure", "Measure the policy or a running system", measureHelp, &measureCommand{}},
		{"standin", "Run stand-in backend servers", standinHelp, &standinCommand{}},
	}
}

// Run parses arguments, runs the subcommand and returns its exit code.
func Run(arguments []string) int {
	parser := flags.NewNamedParser("masticladder", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Routes language-model traffic with long shared prompts.\n\n" + exitCodeHelp
	for _, e := range subcommands() {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return report(err)
}

func report(err error) int {
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(output, flagsError.Message)
		return ExitDone
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var flagsError *flags.Error
	var problems masticsettings.Problems
	if errors.As(err, &flagsError) || errors.As(err, &problems) {
		return ExitUsage
	}
	var e *masticerror.Error
	if !errors.As(err, &e) || e.Kind() == masticerror.KindInternal {
		return ExitFailed
	}
	if e.NotRun() {
		return ExitRefused
	}
	return ExitUnknown
}

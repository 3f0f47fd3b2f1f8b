package masticcommand

import (
	"fmt"
	"os"

	"masticladder/masticexplain"
)

const explainHelp = `Puts the log lines of one request in order, over all processes, and marks with > the one
that decided how it ended. First come the last lines that tell what the processes that served
it believed when it came. Logs are files of JSON lines, one a process; without a file, or for
the file -, standard input is read.

Example:
  masticladder explain 9c41d07be2a35f68 host-1.log host-2.log

` + exitCodeHelp

type explainCommand struct {
	JSON      bool `long:"json" description:"print the account as JSON"`
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"true"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute prints the account.
func (c *explainCommand) Execute([]string) error {
	reader := masticexplain.NewReader(c.Arguments.Request)
	files := c.Arguments.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	account, err := reader.Account()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(account)
	}
	for _, l := range account.Before {
		fmt.Fprintf(output, "  %s\n", l)
	}
	for i, l := range account.Lines {
		mark := " "
		if i == account.Deciding {
			mark = ">"
		}
		fmt.Fprintf(output, "%s %s\n", mark, l)
	}
	return nil
}

func readLog(reader *masticexplain.Reader, name string) error {
	if name == "-" {
		return reader.Read("stdin", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return reader.Read(name, f)
}

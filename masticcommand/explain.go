package masticcommand

import (
	"fmt"
	"os"

	"masticladder/masticexplain"
)

const explainHelp = `Prints the log lines of one request from all processes, sorted by time, and marks with > the
line that states why the request ended as it did. Before them it prints the last state that each
process that served the request had logged before it. Logs are files of JSON lines, one for each
process; without a file, or for the file -, standard input is read.

Example:
  masticladder explain 9c41d07be2a35f68 host-1.log host-2.log

` + exitCodeHelp

type explainCommand struct {
	JSON      bool `long:"json" description:"print the timeline as JSON"`
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"true"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute prints the timeline.
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
	timeline, err := reader.Timeline()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(timeline)
	}
	for _, l := range timeline.StatesBefore {
		fmt.Fprintf(output, "  %s\n", l)
	}
	for i, l := range timeline.Lines {
		mark := " "
		if i == timeline.DecidingIndex {
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

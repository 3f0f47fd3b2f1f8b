package masticcommand

import (
	"fmt"

	"masticladder/masticsettings"
)

const checkHelp = `Checks a settings file: JSON with comments. Each fault is printed as file:line: path: message.

Example:
  masticladder check --settings host.jsonc

` + exitCodeHelp

type checkCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
	JSON     bool   `long:"json" description:"print the settings with their defaults as JSON"`
}

// Execute checks the file.
func (c *checkCommand) Execute([]string) error {
	settings, err := masticsettings.Read(c.Settings)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(settings)
	}
	fmt.Fprintf(output, "%s: valid\n", c.Settings)
	return nil
}

// Command masticladder routes language-model requests with long shared prompts.
package main

import (
	"os"

	"masticladder/masticcommand"
)

func main() { os.Exit(masticcommand.Run(os.Args[1:])) }

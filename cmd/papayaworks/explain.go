package main

import (
	"io"
	"os"

	"github.com/papayaworks/papayaworks/internal/explainer"
)

const explainHelp = `Prints the log lines about one request from the logs of instances, in order of
time: the lines with the request ID, marked with a star, and the lines without
a request ID, such as that a store became unreachable, that the same instance
logged up to 6 s before one of them.

Example:
  papayaworks explain --log a.log --log b.log 9c41d07be2a35f68

Exit status: 0 if a line has the request ID, 1 if none does or a file could
not be read, 2 if the command line is invalid.`

type explainCommand struct {
	output

	Logs []string `long:"log" required:"true" value-name:"FILE" description:"log of an instance; may be given more than once"`
	JSON bool     `long:"json" description:"write the lines as JSON"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"id of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var readers []io.Reader
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	trace, err := explainer.Explain(c.Args.ID, readers...)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.json(trace.Lines)
	}
	_, err = trace.WriteTo(c.out)
	return err
}

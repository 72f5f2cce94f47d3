package main

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/core/policycommit"
)

// statement is who says something to the keepers and why. Both are kept in their log.
type statement struct{ author, reason string }

// flags adds --author and --reason to a command, with what they mean to it.
func (s *statement) flags(c *cobra.Command, author, reason string) {
	c.Flags().StringVar(&s.author, "author", os.Getenv("USER"), author)
	c.Flags().StringVar(&s.reason, "reason", "", reason)
}

// check refuses a statement that does not say both.
func (s statement) check() error {
	if s.author == "" || s.reason == "" {
		return usage("say --author and --reason: they are kept")
	}
	return nil
}

// sign puts a statement, and the time of the clock on the wall, into a request.
func (s statement) sign(r policycommit.Request) policycommit.Request {
	r.Author, r.Reason, r.RequestedAt = s.author, s.reason, time.Now().UnixMicro()
	return r
}

// keeperQuery is a command that asks the keepers, by any router, and shows their reply as text or as JSON.
type keeperQuery struct {
	use, short, example string
	what                policycommit.RequestType
	show                func(io.Writer, policycommit.Reply) error
}

func (q keeperQuery) command() *cobra.Command {
	var output string
	c := &cobra.Command{Use: q.use, Short: q.short, Example: q.example, Args: lastArg(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, text, err := askPolicy(c.Context(), args[0], policycommit.Request{Type: q.what})
			if err != nil {
				return err
			}
			if output == "json" {
				_, err = io.WriteString(c.OutOrStdout(), text)
				return err
			}
			return q.show(c.OutOrStdout(), reply)
		}}
	outputFlag(c, &output)
	return c
}

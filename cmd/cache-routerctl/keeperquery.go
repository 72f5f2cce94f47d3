package main

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/core/policycommit"
)

// auditInfo is the author and the reason of a request to the policy voters, which keep both in their log.
type auditInfo struct{ author, reason string }

// flags adds --author and --reason to a command, with the given help texts.
func (s *auditInfo) flags(c *cobra.Command, author, reason string) {
	c.Flags().StringVar(&s.author, "author", os.Getenv("USER"), author)
	c.Flags().StringVar(&s.reason, "reason", "", reason)
}

// validate reports a missing author or reason.
func (s auditInfo) validate() error {
	if s.author == "" || s.reason == "" {
		return usageErrorf("say --author and --reason: they are kept")
	}
	return nil
}

// sign adds the author, the reason and the wall clock time to a request.
func (s auditInfo) sign(r policycommit.Request) policycommit.Request {
	r.Author, r.Reason, r.RequestedAt = s.author, s.reason, time.Now().UnixMicro()
	return r
}

// policyQuery describes a command that sends a query through any router to the policy voters and prints the reply as text or JSON.
type policyQuery struct {
	use, short, example string
	requestType         policycommit.RequestType
	show                func(io.Writer, policycommit.Reply) error
}

func (q policyQuery) command() *cobra.Command {
	var output string
	c := &cobra.Command{Use: q.use, Short: q.short, Example: q.example, Args: endpointAsLastArg(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, text, err := queryPolicy(c.Context(), args[0], policycommit.Request{Type: q.requestType})
			if err != nil {
				return err
			}
			if output == "json" {
				_, err = io.WriteString(c.OutOrStdout(), text)
				return err
			}
			return q.show(c.OutOrStdout(), reply)
		}}
	addOutputFlag(c, &output)
	return c
}

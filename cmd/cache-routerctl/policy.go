package main

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/config"
	"spurtrestle/internal/policy"
)

func (*cli) policyCommand() *cobra.Command {
	c := &cobra.Command{Use: "policy", Short: "See and change the policy that all routers of a fleet hold",
		Long: "Every command but check asks by the operators' door of any router, which asks the keepers.\n" +
			"Exit codes: 0 done, 1 bad input, 2 wrong usage, 7 the router or the keepers cannot be reached, 8 nowhere. See docs/policy.md.",
		Example: "  cache-routerctl policy apply policy.toml 10.1.2.3:8400 --base 3 --reason 'less for the importers'", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	keeper := &cobra.Command{Use: "keeper", Short: "Change who keeps the policy", Example: "  cache-routerctl policy keeper replace r2 10.1.2.3:8400",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	keeper.AddCommand(policyActionCommand("replace NAME DOOR", "Let a keeper's lost folder count no more; its new one is taken up", policycommit.RequestReplaceVoter))
	c.AddCommand(policyCheckCommand(), policyApplyCommand(), policyUndoCommand(), policyShowCommand(), policyDiffCommand(), policyHistoryCommand(), policyStatusCommand(), policyBootstrapCommand(),
		policyActionCommand("dead NAME DOOR", "Say that a router is dead, and cannot be serving under what it had", policycommit.RequestMarkDead), keeper)
	return c
}

func queryPolicy(ctx context.Context, endpoint string, request policycommit.Request) (reply policycommit.Reply, text string, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return reply, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint+"/ops/policy/ask", bytes.NewReader(body))
	if err != nil {
		return reply, "", err
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return reply, "", exitError{exitUnreachable, err}
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 16<<20))
	if err != nil {
		return reply, "", exitError{exitUnreachable, err}
	}
	switch {
	case response.StatusCode != http.StatusOK && strings.Contains(string(responseBody), "line "):
		return reply, "", errors.New(strings.TrimSpace(string(responseBody)))
	case response.StatusCode != http.StatusOK:
		return reply, "", exitError{exitUnreachable, errors.New(strings.TrimSpace(string(responseBody)))}
	}
	if request.Type == policycommit.RequestBootstrap {
		return reply, string(responseBody), nil
	}
	if err := json.Unmarshal(responseBody, &reply); err != nil {
		return reply, "", fmt.Errorf("what %s says cannot be read: %w", endpoint, err)
	}
	if reply.Error != "" {
		return reply, "", errors.New(reply.Error)
	}
	return reply, string(responseBody), nil
}

// endpointAsLastArg checks that there are n arguments and that the last is the address of an admin endpoint.
func endpointAsLastArg(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("%d arguments are wanted, the last of them a router's door", n)
		}
		return validateEndpoints(c, args[n-1:])
	}
}

func policyCheckCommand() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "check FILE", Short: "Tell what is wrong in a policy, by the configuration of a router", Args: cobra.ExactArgs(1),
		Example: "  cache-routerctl policy check policy.toml --config router.json",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readPolicy(args[0])
			if err != nil {
				return err
			}
			cfg, err := config.Load(func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] })
			if err != nil {
				return err
			}
			d, err := policy.Parse(text)
			if err == nil {
				_, err = d.Settings(cfg.Settings)
			}
			if err == nil {
				_, err = d.Plan(cfg.Settings, cfg.Sites)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: good\n", args[0])
			return err
		}}
	c.Flags().StringVar(&file, "config", os.Getenv("EDGE_CONFIG"), "the router's configuration")
	return c
}

func readPolicy(file string) (string, error) {
	info, err := os.Stat(file)
	if err != nil {
		return "", err
	}
	if info.Size() > policy.MaxDocumentBytes {
		return "", fmt.Errorf("%s: %d bytes are more than the %d that a policy may have; leave out what is as the routers' own settings have it",
			file, info.Size(), policy.MaxDocumentBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if _, err := policy.Parse(string(text)); err != nil {
		return "", fmt.Errorf("%s: %w", file, err)
	}
	return string(text), nil
}

// policyChange holds the flags that apply and undo share.
type policyChange struct {
	auditInfo
	base  uint64
	token string
}

func (x *policyChange) flags(c *cobra.Command) {
	c.Flags().Uint64Var(&x.base, "base", 0, "the revision that it was made for; it is refused if another is in force")
	c.Flags().StringVar(&x.token, "token", "", "of an earlier try whose answer was lost: the same verdict is told again")
	x.auditInfo.flags(c, "who makes the change", "why, for those who look at it later")
}

func (x *policyChange) apply(c *cobra.Command, endpoint, document string) error {
	out := c.OutOrStdout()
	if err := x.validate(); err != nil {
		return err
	}
	if x.token == "" {
		x.token = crand.Text()
	}
	status, _, err := queryPolicy(c.Context(), endpoint, policycommit.Request{Type: policycommit.RequestStatus})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "token %s: revision %d to %d, at %d routers\n", x.token, x.base, x.base+1, len(status.Followers))
	if uint64(status.Current) != x.base {
		h, _, err := queryPolicy(c.Context(), endpoint, policycommit.Request{Type: policycommit.RequestHistory})
		if err == nil && len(h.History) > 0 && uint64(status.Current) > x.base {
			last := h.History[len(h.History)-1]
			fmt.Fprintf(out, "revision %d is in force, by %s at %s: %s\n%s", last.Revision, last.Author, formatMicros(last.RequestedAt), last.Reason,
				lineDiff(last.Document, document))
		}
	}
	reply, _, err := queryPolicy(c.Context(), endpoint, x.sign(policycommit.Request{Type: policycommit.RequestApply, Document: document, Base: policycommit.Revision(x.base), Token: policycommit.Token(x.token)}))
	if err != nil {
		return fmt.Errorf("%w; to learn what became of it ask again with --token %s", err, x.token)
	}
	if reply.Verdict == nil {
		return fmt.Errorf("no verdict was told; ask again with --token %s", x.token)
	}
	if !reply.Verdict.Committed {
		return exitError{exitNotCommitted, fmt.Errorf("nowhere: %s; revision %d stays in force", reply.Verdict.Reason, reply.Verdict.Revision)}
	}
	_, err = fmt.Fprintf(out, "everywhere: revision %d is in force\n", reply.Verdict.Revision)
	return err
}

func policyApplyCommand() *cobra.Command {
	var x policyChange
	c := &cobra.Command{Use: "apply FILE DOOR", Short: "Change the policy, everywhere or nowhere", Args: endpointAsLastArg(2),
		Example: "  cache-routerctl policy apply policy.toml 10.1.2.3:8400 --base 3 --reason 'less for the importers'",
		RunE: func(c *cobra.Command, args []string) error {
			doc, err := readPolicy(args[0])
			if err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				return usageErrorf("--base is missing: say which revision the change was made for; cache-routerctl policy status tells the one in force")
			}
			return x.apply(c, args[1], doc)
		}}
	x.flags(c)
	return c
}

func policyUndoCommand() *cobra.Command {
	var x policyChange
	var to uint64
	c := &cobra.Command{Use: "undo DOOR", Short: "Put an earlier revision into force again, as a new one", Args: endpointAsLastArg(1),
		Example: "  cache-routerctl policy undo 10.1.2.3:8400 --to 2 --reason 'the last one shed too much'",
		RunE: func(c *cobra.Command, args []string) error {
			s, _, err := queryPolicy(c.Context(), args[0], policycommit.Request{Type: policycommit.RequestStatus})
			if err != nil {
				return err
			}
			if !c.Flags().Changed("to") && s.Current > 0 {
				to = uint64(s.Current) - 1
			}
			doc := "schema = 1\n" // an empty policy: each router uses its own settings
			if to > 0 {
				if doc, err = fetchDocument(c.Context(), args[0], to); err != nil {
					return err
				}
			}
			if !c.Flags().Changed("base") {
				x.base = uint64(s.Current)
			}
			return x.apply(c, args[0], doc)
		}}
	x.flags(c)
	c.Flags().Uint64Var(&to, "to", 0, "the revision to go back to (default: the one before)")
	return c
}

// fetchDocument returns the document of a policy revision.
func fetchDocument(ctx context.Context, endpoint string, number uint64) (string, error) {
	reply, _, err := queryPolicy(ctx, endpoint, policycommit.Request{Type: policycommit.RequestHistory, Base: policycommit.Revision(number)})
	if err != nil {
		return "", err
	}
	if len(reply.History) != 1 {
		return "", fmt.Errorf("revision %d is not kept any more, or never was; cache-routerctl policy history lists them", number)
	}
	return reply.History[0].Document, nil
}

func policyShowCommand() *cobra.Command {
	var n uint64
	c := &cobra.Command{Use: "show DOOR", Short: "Print the document in force, or that of a revision", Args: endpointAsLastArg(1),
		Example: "  cache-routerctl policy show 10.1.2.3:8400 --revision 2",
		RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("revision") {
				s, _, err := queryPolicy(c.Context(), args[0], policycommit.Request{Type: policycommit.RequestStatus})
				if err != nil {
					return err
				}
				if n = uint64(s.Current); n == 0 {
					_, err := fmt.Fprintln(c.OutOrStdout(), "# revision 0: each router's own settings")
					return err
				}
			}
			doc, err := fetchDocument(c.Context(), args[0], n)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "# revision %d\n%s", n, doc)
			return err
		}}
	c.Flags().Uint64Var(&n, "revision", 0, "of the policy (default: the one in force)")
	return c
}

func policyDiffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff FILE DOOR", Short: "Compare a file with the document in force", Args: endpointAsLastArg(2),
		Example: "  cache-routerctl policy diff policy.toml 10.1.2.3:8400",
		RunE: func(c *cobra.Command, args []string) error {
			doc, err := readPolicy(args[0])
			if err != nil {
				return err
			}
			s, _, err := queryPolicy(c.Context(), args[1], policycommit.Request{Type: policycommit.RequestStatus})
			was := ""
			if err == nil && s.Current > 0 {
				was, err = fetchDocument(c.Context(), args[1], uint64(s.Current))
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "from revision %d:\n%s", s.Current, lineDiff(was, doc))
			return err
		}}
}

// lineDiff returns the lines that only one of two texts has, as multisets: removed lines first, then added lines.
func lineDiff(a, b string) string {
	count := map[string]int{}
	for line := range strings.Lines(b) {
		count[strings.TrimSpace(line)]++
	}
	var out strings.Builder
	for line := range strings.Lines(a) {
		if line = strings.TrimSpace(line); count[line] > 0 {
			count[line]--
		} else {
			fmt.Fprintf(&out, "- %s\n", line)
		}
	}
	for line := range strings.Lines(b) {
		if line = strings.TrimSpace(line); count[line] > 0 {
			count[line]--
			fmt.Fprintf(&out, "+ %s\n", line)
		}
	}
	return out.String()
}

func formatMicros(at int64) string { return time.UnixMicro(at).UTC().Format(time.RFC3339) }

func policyHistoryCommand() *cobra.Command {
	return policyQuery{use: "history DOOR", short: "List the last changes, with who made them and why",
		example: "  cache-routerctl policy history 10.1.2.3:8400", requestType: policycommit.RequestHistory, show: showHistory}.command()
}

func showHistory(w io.Writer, reply policycommit.Reply) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "revision\tat\tby\twhy")
	for _, h := range reply.History {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", h.Revision, formatMicros(h.RequestedAt), h.Author, h.Reason)
	}
	for _, e := range reply.DeathReports {
		fmt.Fprintf(t, "-\t%s\t%s\tsaid that %s is dead: %s\n", formatMicros(e.RequestedAt), e.Author, e.Name, e.Reason)
	}
	return t.Flush()
}

func policyStatusCommand() *cobra.Command {
	return policyQuery{use: "status DOOR", short: "Show the revision in force, and how each router stands to it",
		example: "  cache-routerctl policy status 10.1.2.3:8400", requestType: policycommit.RequestStatus, show: showPolicyStatus}.command()
}

func showPolicyStatus(w io.Writer, reply policycommit.Reply) error {
	fmt.Fprintf(w, "revision %d is in force\n", reply.Current)
	if p := reply.Pending; p != nil {
		fmt.Fprintf(w, "revision %d is pending, by %s: %s\n", p.Revision, p.Author, p.Reason)
	}
	for _, k := range reply.Voters {
		fmt.Fprintf(w, "keeper %s\n", k)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "router\tholds\tprepared\theard\tcut off\tbuild")
	for _, r := range reply.Followers {
		renewalAge, disconnected := "not by this leader", "refuses"
		if r.RenewalAge >= 0 {
			renewalAge = (time.Duration(r.RenewalAge) * time.Microsecond).Round(10*time.Millisecond).String() + " ago"
		}
		if r.FailOpen {
			disconnected = "serves"
		}
		fmt.Fprintf(t, "%s\t%d\t%v\t%s\t%s\t%s\n", r.Name, r.ActiveRevision, r.Prepared, renewalAge, disconnected, r.Build)
	}
	return t.Flush()
}

func policyBootstrapCommand() *cobra.Command {
	return &cobra.Command{Use: "found DOOR", Short: "Begin the policy of a fleet at a keeper, once", Args: endpointAsLastArg(1),
		Example: "  cache-routerctl policy found 10.1.2.3:8400",
		RunE: func(c *cobra.Command, args []string) error {
			_, text, err := queryPolicy(c.Context(), args[0], policycommit.Request{Type: policycommit.RequestBootstrap})
			if err != nil {
				return err
			}
			_, err = io.WriteString(c.OutOrStdout(), text)
			return err
		}}
}

// policyActionCommand returns a command that submits an operator's request about a router.
func policyActionCommand(use, short string, requestType policycommit.RequestType) *cobra.Command {
	var audit auditInfo
	c := &cobra.Command{Use: use, Short: short, Args: endpointAsLastArg(2), Example: "  cache-routerctl policy " + strings.NewReplacer("NAME", "r2", "DOOR", "10.1.2.3:8400").Replace(use),
		RunE: func(c *cobra.Command, args []string) error {
			if err := audit.validate(); err != nil {
				return err
			}
			if _, _, err := queryPolicy(c.Context(), args[1], audit.sign(policycommit.Request{Type: requestType, Name: args[0]})); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "done")
			return err
		}}
	audit.flags(c, "who says so", "how that is known")
	return c
}

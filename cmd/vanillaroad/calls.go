package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
)

func printJSON(c *cobra.Command, v any) error {
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func directoryCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "directory", Short: "List the daemons to use", Args: cobra.NoArgs,
		Example: "  vanillaroad directory -a 10.0.1.1:7100 --place bloem-a",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			addresses := cl.Addresses(c.Context())
			if o.output == "json" {
				return printJSON(c, addresses)
			}
			printf(c, "%s\n", strings.Join(addresses, "\n"))
			return nil
		}}
}

func generateCommand(o *options) *cobra.Command {
	var r client.GenerateRequest
	var promptFile string
	c := &cobra.Command{Use: "generate", Short: "Generate an answer and stream its tokens", Args: cobra.NoArgs,
		Example: "  vanillaroad generate --workspace fair --service pisar --prompt 'A stand profile' --max-tokens 400",
		RunE: func(c *cobra.Command, _ []string) error {
			if promptFile != "" {
				b, err := os.ReadFile(promptFile)
				if err != nil {
					return errors.Wrap(errBadInput, err.Error())
				}
				r.Prompt = string(b)
			}
			return generate(c, o, r)
		}}
	f := c.Flags()
	f.StringVar(&r.ID, "id", "", "request id; generated if empty")
	f.StringVar(&r.Workspace, "workspace", "", "workspace")
	f.StringVar(&r.Service, "service", "", "service")
	f.StringVar(&r.Prompt, "prompt", "", "prompt")
	f.StringVar(&promptFile, "prompt-file", "", "file that contains the prompt")
	f.Int64Var(&r.MaxTokens, "max-tokens", 256, "maximum length of the answer in tokens")
	f.Int64Var(&r.Seed, "seed", 1, "sampling seed")
	f.StringVar(&r.Priority, "priority", "", "priority: urgent, normal or batch")
	return c
}

func generate(c *cobra.Command, o *options, r client.GenerateRequest) error {
	if r.ID == "" {
		r.ID = fmt.Sprintf("cli-%016x", rand.Uint64())
	}
	cl := o.client()
	defer cl.Close()
	var maxGap time.Duration
	var previous time.Time
	answer, err := cl.Generate(c.Context(), r, func(t client.Token) {
		if !previous.IsZero() {
			maxGap = max(maxGap, t.ReceivedAt.Sub(previous))
		}
		previous = t.ReceivedAt
		if o.output != "json" {
			printf(c, "%s ", t.Text)
		}
	})
	if o.output == "json" {
		result := generateResult{r.ID, answer.Tokens, answer.Moves, maxGap.Milliseconds(), err == nil}
		if perr := printJSON(c, result); perr != nil {
			return perr
		}
		return err
	}
	printf(c, "\n")
	return err
}

// generateResult is the JSON output of the generate command. MaxTokenGapMs is the
// longest time between two tokens, in milliseconds.
type generateResult struct {
	ID            string   `json:"id"`
	Tokens        []string `json:"tokens"`
	Moves         int      `json:"moves"`
	MaxTokenGapMs int64    `json:"widest_gap_ms"`
	Complete      bool     `json:"whole"`
}

func confirmCommand(o *options) *cobra.Command {
	var r client.ConfirmRequest
	var wait time.Duration
	c := &cobra.Command{Use: "confirm", Short: "Run a non-idempotent call at most once", Args: cobra.NoArgs,
		Example: "  vanillaroad confirm --workspace fair --service sejemski-vpis --body 'stand 12'",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			ctx, cancel := context.WithTimeout(c.Context(), wait)
			defer cancel()
			if r.Key == "" {
				key, err := cl.IssueKey(ctx)
				if err != nil {
					return err
				}
				r.Key = key
			}
			out, err := cl.Confirm(ctx, r)
			if err != nil {
				return err
			}
			return printOutcome(c, o, out)
		}}
	f := c.Flags()
	f.DurationVar(&wait, "wait", 30*time.Second, "maximum wait for the outcome")
	f.StringVar(&r.Key, "key", "", "idempotency key; issued by a daemon if empty")
	f.StringVar(&r.Workspace, "workspace", "", "workspace")
	f.StringVar(&r.Service, "service", "", "service")
	f.StringVar(&r.Body, "body", "", "request body")
	return c
}

func printOutcome(c *cobra.Command, o *options, out client.Outcome) error {
	if o.output == "json" {
		if err := printJSON(c, out); err != nil {
			return err
		}
	} else {
		printf(c, "%s %s %s\n", out.Key, out.Outcome, out.Answer)
	}
	if out.Outcome == failure.Ran {
		return nil
	}
	e := failure.New(failure.UnknownOutcome, out.Outcome, "confirm", "", "outcome %s", out.Outcome)
	return e.WithRetryAfter(time.Duration(out.RetryAfter) * time.Millisecond)
}

// outcomeWait limits how long the outcome command retries.
const outcomeWait = 10 * time.Second

func outcomeCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "outcome KEY", Short: "Look up the outcome of a confirmation", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cl := o.client()
			defer cl.Close()
			ctx, cancel := context.WithTimeout(c.Context(), outcomeWait)
			defer cancel()
			out, err := cl.Outcome(ctx, args[0])
			if err != nil {
				return err
			}
			return printOutcome(c, o, out)
		}}
}

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
)

const configurationPath = "/v1/configuration"

// Timeouts of a call to one daemon. For a write the value of --wait is added.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 15 * time.Second
)

type applyRequest struct {
	Document    json.RawMessage `json:"document"`
	BaseVersion int64           `json:"base_version"`
	DryRun      bool            `json:"dry_run"`
	WaitMs      int64           `json:"wait_ms,omitempty"`
	Author      string          `json:"author"`
	WriteID     string          `json:"write_id"`
}

type applyResult struct {
	Version int64    `json:"version"`
	Lagging []string `json:"lagging,omitempty"`
	Changes []string `json:"changes,omitempty"`
}

type configurationAnswer struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

// writeFlags are the flags of commands that change the configuration.
type writeFlags struct {
	baseVersion int64
	wait        time.Duration
	author      string
	dryRun      bool
}

func (w *writeFlags) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.Int64Var(&w.baseVersion, "base", -1, "version that the change is based on; the active one if negative")
	f.BoolVar(&w.dryRun, "dry-run", false, "validate the document and show the changes without applying them")
	f.DurationVar(&w.wait, "wait", 0, "maximum wait until the version is active on all live daemons")
	f.StringVar(&w.author, "author", os.Getenv("USER"), "author of the change")
}

func applyCommand(o *options) *cobra.Command {
	var file string
	w := &writeFlags{}
	c := &cobra.Command{Use: "apply", Short: "Apply a configuration document", Args: cobra.NoArgs,
		Example: "  vanillaroad apply -f site.json --wait 6s\n  vanillaroad apply -f site.json --dry-run\n  vanillaroad apply -f site.json --base 41",
		RunE: func(c *cobra.Command, _ []string) error {
			document, err := readDocument(file)
			if err != nil {
				return err
			}
			return apply(c, o, w, document)
		}}
	c.Flags().StringVarP(&file, "file", "f", "", "configuration document, JSON")
	w.addFlags(c)
	return c
}

func readDocument(file string) (json.RawMessage, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(errBadInput, err.Error())
	}
	if !json.Valid(b) {
		return nil, errors.Wrapf(errBadInput, "%s is not valid JSON", file)
	}
	return b, nil
}

// apply sends the change to the daemons in turn until one answers. All receive the
// same write id, so that the change is accepted at most once.
func apply(c *cobra.Command, o *options, w *writeFlags, document json.RawMessage) error {
	cl := o.client()
	defer cl.Close()
	r := applyRequest{
		Document: document, BaseVersion: w.baseVersion, DryRun: w.dryRun, WaitMs: w.wait.Milliseconds(),
		Author: w.author, WriteID: fmt.Sprintf("cli-%016x", rand.Uint64()),
	}
	if w.baseVersion < 0 {
		current, err := readConfiguration(c, cl, 0)
		if err != nil {
			return err
		}
		r.BaseVersion = current.Version
	}
	var out applyResult
	if err := cl.CallAny(c.Context(), w.wait+writeTimeout, http.MethodPost, configurationPath, r, &out); err != nil {
		return err
	}
	return printApplyResult(c, o, out, w.dryRun)
}

func printApplyResult(c *cobra.Command, o *options, out applyResult, dryRun bool) error {
	switch {
	case o.output == "json":
		if err := printJSON(c, out); err != nil {
			return err
		}
	case dryRun:
		printf(c, "valid on top of version %d; %d entries change\n", out.Version, len(out.Changes))
		for _, n := range out.Changes {
			printf(c, "  %s\n", n)
		}
	default:
		printf(c, "version %d accepted\n", out.Version)
	}
	if len(out.Lagging) > 0 {
		return errors.Wrap(errLagging, "the version is not yet active on "+strings.Join(out.Lagging, ", "))
	}
	return nil
}

func readConfiguration(c *cobra.Command, cl *client.Client, version int64) (configurationAnswer, error) {
	var out configurationAnswer
	path := configurationPath
	if version > 0 {
		path = fmt.Sprintf("%s?version=%d", configurationPath, version)
	}
	err := cl.CallAny(c.Context(), readTimeout, http.MethodGet, path, nil, &out)
	return out, err
}

func rollbackCommand(o *options) *cobra.Command {
	var toVersion int64
	w := &writeFlags{}
	c := &cobra.Command{Use: "rollback", Short: "Apply an earlier version again as a new version", Args: cobra.NoArgs,
		Example: "  vanillaroad rollback --to 41 --wait 6s",
		RunE: func(c *cobra.Command, _ []string) error {
			if toVersion <= 0 {
				return errors.Wrap(errBadInput, "--to must be a positive version number")
			}
			cl := o.client()
			defer cl.Close()
			old, err := readConfiguration(c, cl, toVersion)
			if err != nil {
				return err
			}
			return apply(c, o, w, old.Document)
		}}
	c.Flags().Int64Var(&toVersion, "to", 0, "accepted version to restore; see history")
	w.addFlags(c)
	return c
}

func diffCommand(o *options) *cobra.Command {
	var file string
	c := &cobra.Command{Use: "diff", Short: "Show what a document would change", Args: cobra.NoArgs,
		Long:    "Show which entries a document would change. The exit code is 8 if there are any.",
		Example: "  vanillaroad diff -f site.json",
		RunE: func(c *cobra.Command, _ []string) error {
			document, err := readDocument(file)
			if err != nil {
				return err
			}
			cl := o.client()
			defer cl.Close()
			var out applyResult
			r := applyRequest{Document: document, DryRun: true}
			if err := cl.CallAny(c.Context(), readTimeout, http.MethodPost, configurationPath, r, &out); err != nil {
				return err
			}
			return printChanges(c, o, out.Changes)
		}}
	c.Flags().StringVarP(&file, "file", "f", "", "configuration document, JSON")
	return c
}

func printChanges(c *cobra.Command, o *options, changes []string) error {
	if o.output == "json" {
		if err := printJSON(c, changes); err != nil {
			return err
		}
	} else {
		for _, n := range changes {
			printf(c, "%s\n", n)
		}
	}
	if len(changes) > 0 {
		return errDiffers
	}
	return nil
}

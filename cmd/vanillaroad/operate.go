package main

import (
	"encoding/json"
	"net/http"
	"os"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/settings"
)

type applyRequest struct {
	Document    json.RawMessage `json:"document"`
	BaseVersion int64           `json:"base_version"`
	DryRun      bool            `json:"dry_run"`
	WaitMs      int64           `json:"wait_ms,omitempty"`
	Author      string          `json:"author"`
}

type applyResult struct {
	Version int64    `json:"version"`
	Lagging []string `json:"lagging,omitempty"`
}

type configurationAnswer struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

func applyCommand(o *options) *cobra.Command {
	var file string
	var base int64
	var wait time.Duration
	r := applyRequest{}
	c := &cobra.Command{Use: "apply", Short: "Put a configuration document in force", Args: cobra.NoArgs,
		Example: "  vanillaroad apply -f site.json --wait 6s",
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(errBadInput, err.Error())
			}
			if !json.Valid(b) {
				return errors.Wrapf(errBadInput, "%s is not JSON", file)
			}
			r.Document, r.BaseVersion, r.WaitMs = b, base, wait.Milliseconds()
			return apply(c, o, r, base < 0)
		}}
	f := c.Flags()
	f.StringVarP(&file, "file", "f", "", "document, JSON")
	f.Int64Var(&base, "base", -1, "version the change was made from; the one in force if negative")
	f.BoolVar(&r.DryRun, "dry-run", false, "validate only")
	f.DurationVar(&wait, "wait", 0, "wait until in force on all live daemons")
	f.StringVar(&r.Author, "author", os.Getenv("USER"), "who applies it")
	return c
}

func apply(c *cobra.Command, o *options, r applyRequest, readBase bool) error {
	cl := o.client()
	defer cl.Close()
	if readBase {
		var now configurationAnswer
		if err := cl.Ask(c.Context(), o.addresses[0], http.MethodGet, "/v1/configuration", nil, &now); err != nil {
			return err
		}
		r.BaseVersion = now.Version
	}
	var out applyResult
	if err := cl.Ask(c.Context(), o.addresses[0], http.MethodPost, "/v1/configuration", r, &out); err != nil {
		return err
	}
	if o.output == "json" {
		return printJSON(c, out)
	}
	printf(c, "version %d accepted\n", out.Version)
	for _, l := range out.Lagging {
		printf(c, "not yet in force on %s\n", l)
	}
	return nil
}

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "get", Short: "Show the configuration in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return show(c, o, "/v1/configuration") }}
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the status of daemons", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return show(c, o, "/v1/status") }}
}

// show prints a path's answer of every daemon named with --address.
func show(c *cobra.Command, o *options, path string) error {
	cl := o.client()
	defer cl.Close()
	for _, a := range o.addresses {
		var v any
		if err := cl.Ask(c.Context(), a, http.MethodGet, path, nil, &v); err != nil {
			return err
		}
		if err := printJSON(c, v); err != nil {
			return err
		}
	}
	return nil
}

func drainCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "drain", Short: "Take daemons out of the directory", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			for _, a := range o.addresses {
				if err := cl.Ask(c.Context(), a, http.MethodPost, "/v1/drain", nil, nil); err != nil {
					return err
				}
			}
			return nil
		}}
}

func timelineCommand(o *options) *cobra.Command {
	var request string
	c := &cobra.Command{Use: "timeline", Short: "Merge the events of all daemons", Args: cobra.NoArgs,
		Example: "  vanillaroad timeline -a 10.0.1.1:7100 --request r-17",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			events, err := merged(c, cl, request)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, events)
			}
			for _, e := range events {
				printf(c, "%s %-8s %d %-24s %s %v\n", e.Time.Wall().Format("15:04:05.000"), e.Node, e.Number, e.Name, e.Request, e.Fields)
			}
			return nil
		}}
	c.Flags().StringVar(&request, "request", "", "only events of this request")
	return c
}

// merged asks every daemon of the directory and orders events by hybrid time.
func merged(c *cobra.Command, cl *client.Client, request string) ([]event.Event, error) {
	var all []event.Event
	var failed error
	reached := 0
	for _, a := range cl.Addresses(c.Context()) {
		var part []event.Event
		if err := cl.Ask(c.Context(), a, http.MethodGet, "/v1/events?request="+request, nil, &part); err != nil {
			_, _ = c.ErrOrStderr().Write([]byte("no events from " + a + "\n"))
			failed = err
			continue
		}
		reached++
		all = append(all, part...)
	}
	if reached == 0 {
		return nil, failed
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	return all, nil
}

func settingsCommand() *cobra.Command {
	root := &cobra.Command{Use: "settings", Short: "Check and show daemon settings"}
	root.AddCommand(
		&cobra.Command{Use: "check FILE", Short: "Name every fault of a settings file", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if _, err := settings.Load(args[0]); err != nil {
					return errors.Wrap(errBadInput, err.Error())
				}
				printf(c, "%s is good\n", args[0])
				return nil
			}},
		&cobra.Command{Use: "defaults", Short: "Print the defaults", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return printJSON(c, settings.Default()) }},
	)
	return root
}

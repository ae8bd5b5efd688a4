package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/membership"
)

func getCommand(o *options) *cobra.Command {
	var version int64
	c := &cobra.Command{Use: "get", Short: "Show the active configuration or an earlier version", Args: cobra.NoArgs,
		Example: "  vanillaroad get > site.json\n  vanillaroad get --version 41",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			out, err := readConfiguration(c, cl, version)
			if err != nil {
				return err
			}
			return printJSON(c, out)
		}}
	c.Flags().Int64Var(&version, "version", 0, "accepted version; 0 for the active one")
	return c
}

func describeCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "describe NAME", Short: "Show a service, workspace or target and its related entries", Args: cobra.ExactArgs(1),
		Example: "  vanillaroad describe pisar",
		RunE: func(c *cobra.Command, args []string) error {
			cl := o.client()
			defer cl.Close()
			out, err := readConfiguration(c, cl, 0)
			if err != nil {
				return err
			}
			result, err := describe(out, args[0])
			if err != nil {
				return err
			}
			return printJSON(c, result)
		}}
}

// description is the output of the describe command.
type description struct {
	Version   int64                    `json:"configuration_version"`
	Service   *configuration.Service   `json:"service,omitempty"`
	Targets   []string                 `json:"targets,omitempty"` // names of the targets that the service's selector matches
	Workspace *configuration.Workspace `json:"workspace,omitempty"`
	Target    *configuration.Target    `json:"target,omitempty"`
	ServedBy  []string                 `json:"services,omitempty"` // names of the services whose selector matches the target
}

func describe(a configurationAnswer, name string) (description, error) {
	var d configuration.Document
	if err := json.Unmarshal(a.Document, &d); err != nil {
		return description{}, errors.Wrap(err, "decode configuration")
	}
	s, err := configuration.NewSnapshot(a.Version, d)
	if err != nil {
		return description{}, err
	}
	out := description{Version: a.Version}
	if v, ok := s.Service(name); ok {
		out.Service = &v.Service
		for _, t := range v.Targets {
			out.Targets = append(out.Targets, t.Name)
		}
	}
	if w, ok := s.Workspace(name); ok {
		out.Workspace = &w
	}
	if t, ok := s.Target(name); ok {
		out.Target = &t
		out.ServedBy = servicesSelecting(s, name)
	}
	if out.Service == nil && out.Workspace == nil && out.Target == nil {
		return out, errors.Wrapf(errBadInput, "no service, workspace or target %q in version %d", name, a.Version)
	}
	return out, nil
}

// servicesSelecting returns the names of the services whose selector matches target.
func servicesSelecting(s *configuration.Snapshot, target string) []string {
	var out []string
	for _, svc := range s.Document.Services {
		v, _ := s.Service(svc.Name)
		for _, t := range v.Targets {
			if t.Name == target {
				out = append(out, svc.Name)
			}
		}
	}
	return out
}

type historyEntry struct {
	Version int64  `json:"version"`
	Author  string `json:"author"`
	AtMs    int64  `json:"at_ms"`
}

func historyCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "history", Short: "List the accepted versions, newest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			var out []historyEntry
			if err := cl.CallAny(c.Context(), readTimeout, http.MethodGet, configurationPath+"/history", nil, &out); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, out)
			}
			for _, e := range out {
				printf(c, "%d\t%s\t%s\n", e.Version, time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339), e.Author)
			}
			return nil
		}}
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the status of the daemons named with --address", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return eachAddress(c, o, func(call func(method, path string, out any) error) error {
				var v any
				if err := call(http.MethodGet, "/v1/status", &v); err != nil {
					return err
				}
				return printJSON(c, v)
			})
		}}
}

// eachAddress runs fn for every daemon named with --address, writes errors to
// standard error and, after all daemons were called, returns the last error.
func eachAddress(c *cobra.Command, o *options, fn func(call func(method, path string, out any) error) error) error {
	cl := o.client()
	defer cl.Close()
	var last error
	for _, a := range o.addresses {
		err := fn(func(method, path string, out any) error {
			return cl.Call(c.Context(), a, method, path, nil, out)
		})
		if err != nil {
			_, _ = c.ErrOrStderr().Write([]byte(a + ": " + err.Error() + "\n"))
			last = err
		}
	}
	return last
}

type memberStatus struct {
	Isolated bool                `json:"isolated"`
	Members  []membership.Member `json:"members"`
}

func membersCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "members", Short: "List the daemons in the view of the first daemon that answers", Args: cobra.NoArgs,
		Example: "  vanillaroad members -a 10.0.1.1:7100,10.0.1.2:7100",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			var out memberStatus
			if err := cl.CallAny(c.Context(), readTimeout, http.MethodGet, "/v1/status", nil, &out); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(c, out.Members)
			}
			for _, m := range out.Members {
				printf(c, "%-12s %-9s %-16s %-22s version %d\n", m.ID, m.State, m.Place, m.APIAddress, m.Version)
			}
			return nil
		}}
}

func drainCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "drain", Short: "Drain the daemons named with --address", Args: cobra.NoArgs,
		Long:    "Start to drain the daemons named with --address. They are removed from all directory answers at once and refuse new work when earlier answers have expired. Running work continues; the processes are not stopped.",
		Example: "  vanillaroad drain -a 10.0.1.3:7100",
		RunE: func(c *cobra.Command, _ []string) error {
			return eachAddress(c, o, func(call func(method, path string, out any) error) error {
				return call(http.MethodPost, "/v1/drain", nil)
			})
		}}
}

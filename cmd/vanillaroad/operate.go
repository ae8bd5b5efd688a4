package main

import (
	"net/http"
	"sort"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/settings"
)

func timelineCommand(o *options) *cobra.Command {
	var request string
	c := &cobra.Command{Use: "timeline", Short: "Show the events of all daemons in time order", Args: cobra.NoArgs,
		Example: "  vanillaroad timeline -a 10.0.1.1:7100 --request r-17",
		RunE: func(c *cobra.Command, _ []string) error {
			cl := o.client()
			defer cl.Close()
			events, err := mergedEvents(c, cl, request)
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
	c.Flags().StringVar(&request, "request", "", "only events of this request id")
	return c
}

// mergedEvents reads the events of every daemon in the directory and orders them by
// hybrid logical time. It fails only if no daemon answered.
func mergedEvents(c *cobra.Command, cl *client.Client, request string) ([]event.Event, error) {
	var events []event.Event
	var lastErr error
	answered := 0
	for _, a := range cl.Addresses(c.Context()) {
		var daemonEvents []event.Event
		if err := cl.Call(c.Context(), a, http.MethodGet, "/v1/events?request="+request, nil, &daemonEvents); err != nil {
			_, _ = c.ErrOrStderr().Write([]byte("could not read events of " + a + "\n"))
			lastErr = err
			continue
		}
		answered++
		events = append(events, daemonEvents...)
	}
	if answered == 0 {
		return nil, lastErr
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time < events[j].Time })
	return events, nil
}

func settingsCommand() *cobra.Command {
	root := &cobra.Command{Use: "settings", Short: "Check and show daemon settings"}
	root.AddCommand(
		&cobra.Command{Use: "check FILE", Short: "Check a settings file and list every error", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				s, err := settings.Load(args[0])
				if err == nil {
					err = settings.CheckUnknown(s.Unknown)
				}
				if err != nil {
					return errors.Wrap(errBadInput, err.Error())
				}
				printf(c, "%s is good\n", args[0])
				return nil
			}},
		&cobra.Command{Use: "defaults", Short: "Print the default settings", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return printJSON(c, settings.Default()) }},
	)
	return root
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/gateway"
)

// maxRolloutsBytes bounds the answer of a daemon.
const maxRolloutsBytes = 1 << 20

func rolloutsCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "rollouts OPERATIONS-ADDRESS...", Short: "Show what vanillaroad-gateway daemons know of the roll-outs", Args: cobra.MinimumNArgs(1),
		Long:    "OPERATIONS-ADDRESS is the operations address of a daemon, IP:port. A daemon that does not answer is listed with the reason.",
		Example: "  vanillaroad rollouts 10.1.0.19:7200 10.1.0.20:7200",
		RunE: func(c *cobra.Command, args []string) error {
			var views []gateway.RolloutsView
			failed := 0
			for _, address := range args {
				view, err := fetchRollouts(address)
				if err != nil {
					failed++
					_, _ = fmt.Fprintln(c.ErrOrStderr(), err)
					continue
				}
				views = append(views, view)
			}
			if failed == len(args) {
				return errors.New("no daemon answered")
			}
			if o.output == "json" {
				return printJSON(c, views)
			}
			return printRollouts(c.OutOrStdout(), views)
		}}
}

// fetchRollouts requests a daemon's view of the roll-outs.
func fetchRollouts(address string) (view gateway.RolloutsView, err error) {
	client := http.Client{Timeout: targetsTimeout}
	resp, err := client.Get("http://" + address + "/rollouts")
	if err != nil {
		return view, errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return view, errors.Errorf("ask %s: status %d", address, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxRolloutsBytes)).Decode(&view)
	return view, errors.Wrapf(err, "read the answer of %s", address)
}

// printRollouts prints a line for each roll-out at each daemon.
func printRollouts(w io.Writer, views []gateway.RolloutsView) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, view := range views {
		switch {
		case !view.Enabled:
			_, _ = fmt.Fprintf(out, "%s\tno roll-outs in its settings\n", view.Daemon)
		case len(view.Rollouts)+len(view.Invalid) == 0:
			_, _ = fmt.Fprintf(out, "%s\tno order\n", view.Daemon)
		}
		for _, r := range view.Rollouts {
			_, _ = fmt.Fprintf(out, "%s\t%s to %s\t%s\t%s\t%s\t%d of %d requests\t%d failed\t%s\n", view.Daemon, r.Service, r.Target, describeAge(r), r.Phase, r.Verdict, r.Sent, r.Requests, r.Failures, r.Reason)
		}
		for _, i := range view.Invalid {
			_, _ = fmt.Fprintf(out, "%s\t%s\tinvalid\t%s\n", view.Daemon, i.Service, i.Error)
		}
	}
	return errors.Wrap(out.Flush(), "print roll-outs")
}

// describeAge returns the age of an order, and of what duration.
func describeAge(r gateway.RolloutView) string {
	age := time.Duration(r.AgeSeconds * float64(time.Second)).Round(100 * time.Millisecond)
	if r.Presumed {
		return "no order since " + age.String()
	}
	return fmt.Sprintf("%v of %v", age, time.Duration(r.LimitSeconds*float64(time.Second)))
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Limits of a query to a daemon.
const (
	targetsTimeout  = 5 * time.Second
	maxTargetsBytes = 16 << 20
)

func gatewayTargetsCommand() *cobra.Command {
	var all bool
	c := &cobra.Command{Use: "targets ADDRESS", Short: "Show what a daemon believes of the targets, by place, the worst place first", Args: cobra.ExactArgs(1),
		Long:    "ADDRESS is the daemon's operations address, IP:port. Without --all, only targets are listed that get no new requests or state conditions.",
		Example: "  vanillaroad gateway targets 10.1.0.19:7200",
		RunE: func(c *cobra.Command, args []string) error {
			targets, err := fetchTargets(args[0])
			if err != nil {
				return err
			}
			return printTargets(c.OutOrStdout(), targets, all)
		}}
	c.Flags().BoolVar(&all, "all", false, "list all targets")
	return c
}

// fetchTargets requests a daemon's view of the targets.
func fetchTargets(address string) ([]fleet.Description, error) {
	client := http.Client{Timeout: targetsTimeout}
	resp, err := client.Get("http://" + address + "/targets")
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask %s: status %d", address, resp.StatusCode)
	}
	var targets []fleet.Description
	err = json.NewDecoder(io.LimitReader(resp.Body, maxTargetsBytes)).Decode(&targets)
	return targets, errors.Wrapf(err, "read the answer of %s", address)
}

// unusual reports whether a target gets no new requests or states conditions.
func unusual(t fleet.Description) bool {
	return t.State != fleet.Ready || t.Limit > 0 || t.Brittle
}

// printTargets prints a line a place and service, and one a target.
func printTargets(w io.Writer, targets []fleet.Description, all bool) error {
	type group struct {
		name           string
		targets, ready int
		list           []fleet.Description
	}
	byName := make(map[string]*group)
	var groups []*group
	for _, t := range targets {
		name := t.Place + " " + t.Service
		g := byName[name]
		if g == nil {
			g = &group{name: name}
			byName[name], groups = g, append(groups, g)
		}
		g.targets++
		if t.State == fleet.Ready {
			g.ready++
		}
		if all || unusual(t) {
			g.list = append(g.list, t)
		}
	}
	share := func(g *group) float64 { return float64(g.ready) / float64(g.targets) }
	sort.SliceStable(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		return share(a) < share(b) || share(a) == share(b) && a.name < b.name
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, g := range groups {
		_, _ = fmt.Fprintf(out, "%s\t%d of %d ready\n", g.name, g.ready, g.targets)
		for _, t := range g.list {
			_, _ = fmt.Fprintf(out, "  %s\t%s\t%d running\t%s\n", t.ID, t.State, t.Running, strings.Join(conditionsOf(t), ", "))
		}
	}
	return errors.Wrap(out.Flush(), "print targets")
}

// conditionsOf describes what a target states.
func conditionsOf(t fleet.Description) (out []string) {
	if t.LeavingStated {
		out = append(out, "states that it leaves")
	}
	if t.LeavingRelayed {
		out = append(out, "leaves, says another daemon")
	}
	if t.PauseMillis > 0 {
		out = append(out, fmt.Sprintf("wants no requests for %v", time.Duration(t.PauseMillis)*time.Millisecond))
	}
	if t.Limit > 0 {
		out = append(out, fmt.Sprintf("takes %g requests a second", t.Limit))
	}
	if t.Brittle {
		out = append(out, "is brittle")
	}
	return out
}

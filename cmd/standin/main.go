// Command standin runs one stand-in of what stands outside the system. It is
// for demos and tests only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/internal/standin"
)

func main() {
	root := &cobra.Command{Use: "standin", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), bookingCommand(), weightsCommand(), checkCommand(),
		routeCompareCommand(), confirmLoadCommand(), confirmCheckCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func serve(address string, h http.Handler) error {
	const headerTimeout = 5 * time.Second
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

func platformCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{Use: "platform", Short: "object API and VM list", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(listen, standin.NewPlatform().Handler()) }}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address")
	return c
}

func engineCommand() *cobra.Command {
	var listen string
	s := standin.DefaultEngineSettings()
	c := &cobra.Command{Use: "engine", Short: "model engine", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s.Crash = func() {
				fmt.Fprintln(os.Stderr, "engine crashed by a request")
				os.Exit(3)
			}
			return serve(listen, standin.NewEngine(s).Handler())
		}}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8000", "address")
	f.IntVar(&s.Slots, "slots", s.Slots, "size of the batch")
	f.DurationVar(&s.TokenInterval, "token-interval", s.TokenInterval, "time between two tokens")
	f.Float64Var(&s.PrefillRate, "prefill-rate", s.PrefillRate, "prompt tokens a second")
	f.DurationVar(&s.KeepAlive, "keep-alive", s.KeepAlive, "time between keep-alives")
	f.DurationVar(&s.LoadLag, "load-lag", s.LoadLag, "age of load reports")
	f.DurationVar(&s.LoadTime, "load-time", s.LoadTime, "time to load the weights of an order")
	f.StringVar(&s.WeightStore, "weight-store", "", "base URL of the weight store")
	f.BoolVar(&s.ChecksFencing, "checks-fencing", s.ChecksFencing, "refuse orders with an old fencing number")
	f.StringToStringVar(&s.Models, "models", s.Models, "model=version, ...")
	return c
}

func bookingCommand() *cobra.Command {
	var listen string
	var delay time.Duration
	var journal string
	c := &cobra.Command{Use: "booking", Short: "plain service with a ledger", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b := standin.NewBooking(delay)
			if journal != "" {
				f, err := os.OpenFile(journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
				if err != nil {
					return err
				}
				b.Journal = f
			}
			return serve(listen, b.Handler())
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address")
	c.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time a call takes")
	c.Flags().StringVar(&journal, "journal", "", "file that each key is added to before it runs")
	return c
}

func weightsCommand() *cobra.Command {
	var listen string
	var limit int
	c := &cobra.Command{Use: "weights", Short: "weight store that is rate-limited", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(listen, standin.NewWeightStore(limit).Handler()) }}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7500", "address")
	c.Flags().IntVar(&limit, "limit", 2, "fetches at once; more are refused")
	return c
}

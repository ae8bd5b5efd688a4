// Command standin runs a stand-in of a process outside the system: the platform, an
// engine, a booking service or a weight store. It also has commands that send load
// and check results. It is for demos and tests only.
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
	c := &cobra.Command{Use: "platform", Short: "platform with an object store and a VM list", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(listen, standin.NewPlatform().Handler()) }}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on, IP:port")
	return c
}

func engineCommand() *cobra.Command {
	var listen string
	s := standin.DefaultEngineSettings()
	c := &cobra.Command{Use: "engine", Short: "model engine", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s.Crash = func() {
				fmt.Fprintln(os.Stderr, "engine crashed on a poison request")
				os.Exit(3)
			}
			return serve(listen, standin.NewEngine(s).Handler())
		}}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:8000", "address to listen on, IP:port")
	f.IntVar(&s.Slots, "slots", s.Slots, "number of slots in the batch")
	f.DurationVar(&s.TokenInterval, "token-interval", s.TokenInterval, "time between two tokens of a stream")
	f.Float64Var(&s.PrefillRate, "prefill-rate", s.PrefillRate, "prefill rate in prompt tokens per second")
	f.DurationVar(&s.KeepAlive, "keep-alive", s.KeepAlive, "time between keep-alives")
	f.DurationVar(&s.LoadLag, "load-lag", s.LoadLag, "maximum age of load reports")
	f.DurationVar(&s.LoadTime, "load-time", s.LoadTime, "time to load the weights of a model named in an order")
	f.StringVar(&s.WeightStore, "weight-store", "", "base URL of the weight store")
	f.BoolVar(&s.ChecksFencing, "checks-fencing", s.ChecksFencing, "refuse orders with a stale fencing number")
	f.StringToStringVar(&s.Models, "models", s.Models, "loaded models, as model=version,...")
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
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on, IP:port")
	c.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "duration of a call")
	c.Flags().StringVar(&journal, "journal", "", "file to append each key to before its call runs")
	return c
}

func weightsCommand() *cobra.Command {
	var listen string
	var limit int
	c := &cobra.Command{Use: "weights", Short: "weight store with limited concurrency", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(listen, standin.NewWeightStore(limit).Handler()) }}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7500", "address to listen on, IP:port")
	c.Flags().IntVar(&limit, "limit", 2, "maximum concurrent fetches; further ones are refused")
	return c
}

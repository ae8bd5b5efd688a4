package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"sort"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/gateway"
	"github.com/vanillaroad/vanillaroad/settings"
)

// gatewayCommand groups the commands for operators of vanillaroad-gateway.
func gatewayCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "gateway", Short: "Check the files, read the logs and show the state of vanillaroad-gateway daemons"}
	c.AddCommand(gatewaySettingsCommand(), gatewayConfigurationCommand(o), gatewayFollowCommand(), gatewayTargetsCommand())
	return c
}

func gatewaySettingsCommand() *cobra.Command {
	return &cobra.Command{Use: "check-settings FILE", Short: "Check a daemon's settings file and list every error", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := gateway.LoadSettings(args[0])
			if err == nil {
				err = settings.CheckUnknown(s.Unknown)
			}
			if err != nil {
				return errors.Wrap(errBadInput, err.Error())
			}
			printf(c, "good: daemon %s in %s\n", s.ID, s.Place)
			return nil
		}}
}

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a daemon's log. time is its time stamp in a form that sorts as
// text.
type logLine struct {
	time string
	text []byte
}

func gatewayFollowCommand() *cobra.Command {
	return &cobra.Command{Use: "follow REQUEST LOG...", Short: "Print the lines about a request from the logs of several daemons, in time order",
		Example: "  vanillaroad gateway follow c4c4b2940167368b vm-*.log", Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				matching, err := requestLines(path, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, matching...)
			}
			sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
			for _, l := range lines {
				printf(c, "%s\n", l.text)
			}
			if len(lines) == 0 {
				return errors.Errorf("no log line about request %s", args[0])
			}
			return nil
		}}
}

// requestLines returns the lines of a log that are events of a request. Other lines
// are skipped.
func requestLines(path, request string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(errBadInput, err.Error())
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), []byte(request)) {
			continue
		}
		var e struct {
			Time    string `json:"ts"`
			Request string `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &e) == nil && e.Request == request {
			lines = append(lines, logLine{e.Time, bytes.Clone(scanner.Bytes())})
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read %s", path)
}

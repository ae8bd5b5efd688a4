package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/ingress/lint"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Codes of findings about the inputs of check-configuration.
const (
	codeUnreadableFile lint.Code = "unreadable_file"
	codeStoreSilent    lint.Code = "store_silent"
	codeActiveInvalid  lint.Code = "active_invalid"
	codeNoneActive     lint.Code = "none_active"
)

// maxConfigurationFile bounds the configurations that are read, in bytes. It is a multiple of
// the size that the store accepts, so that a file that is only too large for the store is still
// checked.
const maxConfigurationFile = 16 * objectstore.MaxValueBytes

// configurationCheck is one run of check-configuration.
type configurationCheck struct {
	file, against, store string
	document             *platform.CheckedDocument // nil if the file can't be read
	others               []platform.Finding        // about the inputs and the active configuration
	storeSilent          bool
}

func gatewayConfigurationCommand(o *options) *cobra.Command {
	check := &configurationCheck{}
	c := &cobra.Command{Use: "check-configuration FILE", Short: "Check a configuration in the format of the platform's object store", Args: cobra.ExactArgs(1),
		Long: "Check a configuration before it is sent to the platform's object store, and list all errors, warnings and,\n" +
			"with --against or --store, changes from the active version. FILE is - for the standard input.\n" +
			"The exit code is 2 if there are errors, 4 if the store does not answer, and 8 if there are only warnings.",
		Example: "  vanillaroad gateway check-configuration main.json --store 10.1.0.2:7000\n" +
			"  vanillaroad gateway check-configuration main.json --against active.json -o json",
		RunE: func(c *cobra.Command, args []string) error {
			check.file = args[0]
			if err := check.checkArguments(); err != nil {
				return err
			}
			check.run(c.Context(), c.InOrStdin())
			c.SilenceErrors = true // the findings say it all
			return check.report(c, o.output == "json")
		}}
	c.Flags().StringVar(&check.against, "against", "", "file with the active configuration; lists the differences")
	c.Flags().StringVar(&check.store, "store", "", "address of the platform's store, IP:port; lists the differences from its configuration")
	return c
}

func (k *configurationCheck) checkArguments() error {
	if k.against != "" && k.store != "" {
		return errors.Wrap(errBadInput, "--against and --store exclude each other")
	}
	if k.file == "-" && k.against == "-" {
		return errors.Wrap(errBadInput, "only one configuration can be read from the standard input")
	}
	if _, err := netip.ParseAddrPort(k.store); k.store != "" && err != nil {
		return errors.Wrapf(errBadInput, "--store must be IP:port: %v", err)
	}
	return nil
}

func (k *configurationCheck) run(ctx context.Context, stdin io.Reader) {
	k.document = k.readFile(k.file, stdin)
	var active *platform.CheckedDocument
	switch {
	case k.against != "":
		active = k.readFile(k.against, stdin)
		if active != nil && active.HasErrors() {
			for _, f := range active.Findings {
				if f.Severity == lint.Error {
					f.Path = inFile(k.against, f.Path)
					k.others = append(k.others, f)
				}
			}
		}
	case k.store != "":
		active = k.readStore(ctx)
	}
	if k.document != nil && active != nil {
		k.document.Compare(active)
	}
}

// readFile reads and checks a configuration. It returns nil if the file can't be read.
func (k *configurationCheck) readFile(path string, stdin io.Reader) *platform.CheckedDocument {
	text, err := readConfigurationFile(path, stdin)
	if err != nil {
		k.others = append(k.others, platform.Finding{Severity: lint.Error, Code: codeUnreadableFile, Path: path, Message: err.Error()})
		return nil
	}
	return platform.CheckDocument(text)
}

func readConfigurationFile(path string, stdin io.Reader) ([]byte, error) {
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		stdin = file
	}
	text, err := io.ReadAll(io.LimitReader(stdin, maxConfigurationFile+1))
	if err == nil && len(text) > maxConfigurationFile {
		err = errors.Errorf("more than %d bytes", maxConfigurationFile)
	}
	return text, err
}

// readStore reads the active configuration from the store. It returns nil if there is none to
// compare with.
func (k *configurationCheck) readStore(ctx context.Context) *platform.CheckedDocument {
	client := platform.NewClient("http://"+k.store, metrics.NewRegistry())
	defer client.Close()
	path := "store " + k.store
	object, err := client.Get(ctx, platform.ConfigurationKind, platform.ConfigurationName)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		// A warning, because another server at a wrong address also answers in this way.
		k.others = append(k.others, platform.Finding{Severity: lint.Warning, Code: codeNoneActive, Path: path, Message: "there is no configuration in the store: this is the first one, or the address is not that of the store"})
		return nil
	case err != nil:
		k.storeSilent = true
		k.others = append(k.others, platform.Finding{Severity: lint.Error, Code: codeStoreSilent, Path: path, Message: fmt.Sprintf("the store did not answer, so changes are not listed: %v", err)})
		return nil
	}
	active := platform.CheckDocument(object.Value)
	if active.HasErrors() {
		// A warning, because the file that is checked may be the repair.
		first := active.Findings[0]
		k.others = append(k.others, platform.Finding{Severity: lint.Warning, Code: codeActiveInvalid, Path: path,
			Message: fmt.Sprintf("daemons refuse the configuration in the store, so changes are not listed; its first error: %s", inFile(first.Path, first.Message))})
	}
	return active
}

// inFile joins a place and what is at it, either of which may be empty.
func inFile(place, text string) string {
	if place == "" || text == "" {
		return place + text
	}
	return place + ": " + text
}

// report prints the findings and returns the error for the exit code.
func (k *configurationCheck) report(c *cobra.Command, asJSON bool) error {
	findings := append([]platform.Finding{}, k.others...) // not nil, so that JSON has an empty list
	if k.document != nil {
		findings = append(findings, k.document.Findings...)
	}
	platform.SortFindings(findings)
	count := make(map[lint.Severity]int)
	for i := range findings {
		if findings[i].Path == "" {
			findings[i].Path = k.file
		}
		count[findings[i].Severity]++
	}
	if asJSON {
		if err := printJSON(c, findings); err != nil {
			return err
		}
	} else {
		k.printFindings(c, findings)
	}
	switch {
	case count[lint.Error] == 1 && k.storeSilent:
		return errStoreSilent
	case count[lint.Error] > 0:
		return errBadInput
	case count[lint.Warning] > 0:
		return errWarns
	}
	return nil
}

func (k *configurationCheck) printFindings(c *cobra.Command, findings []platform.Finding) {
	for _, f := range findings {
		place := f.Path
		if f.Line > 0 {
			place = fmt.Sprintf("%s (line %d)", f.Path, f.Line)
		}
		printf(c, "%s: %s: %s\n", f.Severity, place, f.Message)
	}
	if len(findings) == 0 {
		d := k.document.Document
		printf(c, "good: version %d, %d routes, %d services, %d workspaces\n", d.Version, len(d.Routes), len(d.Services), len(d.Workspaces))
	}
}

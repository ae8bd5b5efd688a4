package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/vanillaroad/vanillaroad/internal/standin"
)

// checkCommand checks an answer that was printed by "vanillaroad -o json generate".
func checkCommand() *cobra.Command {
	var prompt string
	var length int64
	c := &cobra.Command{Use: "check FILE", Short: "check that an answer is complete", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return errors.WithStack(err)
			}
			var a struct {
				Tokens   []string `json:"tokens"`
				MaxGapMs int64    `json:"widest_gap_ms"`
			}
			if err := json.Unmarshal(b, &a); err != nil {
				return errors.WithStack(err)
			}
			if err := standin.CheckAnswer(prompt, a.Tokens, length); err != nil {
				return err
			}
			fmt.Printf("whole: %d tokens, every position once; widest gap the caller saw: %d ms\n", len(a.Tokens), a.MaxGapMs)
			return nil
		}}
	c.Flags().StringVar(&prompt, "prompt", "", "prompt that the answer belongs to")
	c.Flags().Int64Var(&length, "length", 0, "required length of the answer in tokens")
	return c
}

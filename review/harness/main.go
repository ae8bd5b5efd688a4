// Command harness plays the scripted cases of the review. It starts gateway daemons as
// separate processes, with stand-ins of the store, the engines and the callers, and checks
// one rule. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case. trouble is false if the disruption is left out. It returns whether
// the rule was broken.
type caseFunc func(s *site, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{
	"late-extra-answer": lateExtraAnswer,
	"last-tenant":       lastTenant,
	"silent-engine":     silentEngine,
	"silent-then-stop":  silentThenStop,
	"popular-request":   popularRequest,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(rec)
	if err != nil {
		rec.conclude("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.conclude("not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

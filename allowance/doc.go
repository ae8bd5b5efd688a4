// Package allowance holds limits that a fleet of daemons keeps together without a common
// view. Each daemon earns credits from the requests that callers send to it, plus a share of
// a fixed slack, and spends one credit per use. Because each daemon keeps its own account
// balanced, the total that all daemons spend is at most a ratio of the requests at all daemons,
// plus the slack.
//
// Budget and Lender keep a limit over a sliding window, with credits that daemons lend to each
// other. Cumulative keeps a limit from a point in time on. The types are pure: times, messages
// and random numbers are inputs. They start no goroutine and read no clock, and a caller that
// uses one from several goroutines must lock it. See docs/design/fleet-allowances.md.
package allowance

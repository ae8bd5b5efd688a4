package allowance

import (
	"slices"
	"time"
)

// Timing of loans.
const (
	// validity is how long a borrower may use a loan, from when it sent the request. The time
	// of the reply does not matter, so a delay can't lengthen a loan.
	validity = time.Second
	// useDelay bounds the time from the payment of a use until it takes place: a send needs a
	// permit of another daemon and a connection. It also covers clocks of different speed.
	useDelay = 300 * time.Millisecond
	// countedValidity is how long the lender assumes that uses may take place, from the grant,
	// which is never earlier than the request.
	countedValidity = validity + useDelay
	// roundTimeout is how long a daemon waits for replies before it asks others. A round trip
	// takes some milliseconds, with a new connection two or three times as much.
	roundTimeout = 50 * time.Millisecond
	// wantValidity is how long a stream's want counts after it was last stated. Streams that
	// stay at a silent target state it again with each probe of the target.
	wantValidity = 300 * time.Millisecond
	// advanceInterval is the minimum time between two rounds in advance.
	advanceInterval = time.Second
	// avoidTime is how long a daemon that had too little to lend is not asked again.
	avoidTime = time.Second
	// unableTime is the same for a daemon whose build does not lend.
	unableTime = time.Minute
)

// Limits of asks and loans.
const (
	// maxPerRound is the number of daemons that are asked at a time.
	maxPerRound = 3
	// asksPerSecond is the rate of asks of a daemon over a longer time, and maxAsks the number
	// that it may save up for a loss. In the model load, 15 denied 11 % of the streams although the
	// fleet had credits, 30 denied 2 %, and 60 none: late in a window most daemons have little left.
	asksPerSecond = 5
	maxAsks       = 60
	// maxAdvance bounds what is borrowed in advance in one round.
	maxAdvance = 4 * One
	// minReturn is the smallest amount that is worth a message; less lapses.
	minReturn = One / 4
	// lendKeepShare is the fraction of its credits that a daemon with streams keeps if another
	// one has lost streams. It can borrow itself, so the fraction is small.
	lendKeepShare = 0.05
	// advanceKeepShare is the fraction that it keeps if the other one borrows in advance, so that
	// credits are left for losses.
	advanceKeepShare = 0.5
)

// want is what a stream that has begun waits for.
type want struct {
	amount Credits
	until  time.Time
}

// Borrower identifies one process of a daemon.
type Borrower struct {
	ID          string
	Incarnation uint64
}

type loanKey struct {
	borrower Borrower
	seq      uint64
}

// Ask is a request for a loan to another daemon. Each needs a call of Receive or Fail.
type Ask struct {
	To      string
	Seq     uint64 // unique in this process
	Service string
	Amount  Credits
	Urgent  bool // a stream waits for it
	sentAt  time.Time
}

// Return gives back a part of a loan that was not used.
type Return struct {
	To      string
	Seq     uint64
	Service string
	Amount  Credits // of this loan, including earlier returns
}

// borrowed is a loan that this daemon got.
type borrowed struct {
	from     string
	seq      uint64
	until    time.Time
	left     Credits
	returned Credits
}

// Grant answers the request of another daemon and returns what it lends. The loan counts as a use
// of this daemon at every moment in which it may be used. A repeated request gets the same answer
// and lends nothing more.
func (b *Budget) Grant(now time.Time, to Borrower, seq uint64, service string, amount Credits, urgent bool) Credits {
	b.expireLoans(now)
	key := loanKey{to, seq}
	if u := b.loans[key]; u != nil {
		return u.granted
	}
	a := b.account(now, service)
	if urgent {
		a.troubleAt = now
	}
	until := now.Add(countedValidity)
	granted := min(amount, b.lendable(now, a, until, urgent))
	if !b.Lends() || granted <= 0 {
		b.Counts.Refused++
		return 0
	}
	u := &use{until: until, weight: granted, loan: true, granted: granted}
	a.add(u)
	b.loans[key] = u
	b.Counts.Granted++
	return granted
}

// lendable returns what the daemon can lend until a time. It keeps what it may need itself.
func (b *Budget) lendable(now time.Time, a *account, until time.Time, urgent bool) Credits {
	if a.wanted() > 0 {
		return 0
	}
	slack := b.slackShare(now)
	capacity, streams := a.capacity(now, b.settings, slack), Credits(a.streams)*One
	keep := min(streams, Credits(lendKeepShare*float64(capacity)))
	if !urgent {
		keep = max(min(streams, capacity), Credits(advanceKeepShare*float64(capacity)))
	}
	return a.free(b.settings, until, slack) - keep
}

// AcceptReturn takes back what a borrower has not used. A repeated or late return has no effect.
func (b *Budget) AcceptReturn(now time.Time, from Borrower, seq uint64, amount Credits) {
	b.expireLoans(now)
	if u := b.loans[loanKey{from, seq}]; u != nil && amount > 0 {
		u.weight = min(u.weight, max(0, u.granted-amount))
	}
}

// expireLoans drops the loans that no longer count, with which repeated requests are recognized.
func (b *Budget) expireLoans(now time.Time) {
	for key, u := range b.loans {
		if !u.until.After(now.Add(-b.settings.Window)) {
			delete(b.loans, key)
		}
	}
}

// Want states that a stream waits for credits for n uses. It counts until Unwant, or for
// wantValidity.
func (b *Budget) Want(now time.Time, service, stream string, n int) {
	a := b.account(now, service)
	a.wants[stream] = want{Credits(n) * One, now.Add(wantValidity)}
	a.troubleAt = now
}

// Unwant states that a stream waits no more.
func (b *Budget) Unwant(service, stream string) {
	if a := b.accounts[service]; a != nil {
		delete(a.wants, stream)
	}
}

func (a *account) wanted() (sum Credits) {
	for _, w := range a.wants {
		sum += w.amount
	}
	return sum
}

// shortfall returns the credits that are missing: for the streams that wait, and in advance for
// those that may have to be resumed. Daemons borrow in advance only after a stream needed a credit
// within the last window, here or at a daemon that asked this one.
func (b *Budget) shortfall(now time.Time, service string) (urgent, advance Credits) {
	a := b.account(now, service)
	own, available := b.Available(now, service)
	available += own
	if !a.troubleAt.IsZero() && now.Sub(a.troubleAt) < b.settings.Window {
		advance = min(maxAdvance, Credits(a.streams)*One-own) - (available - own)
	}
	return a.wanted() - available, advance
}

// PlanAsks returns the requests to send now. live returns the other daemons that are live, and
// intn a random number below its argument.
func (b *Budget) PlanAsks(now time.Time, live func() []string, intn func(int) int) (asks []Ask) {
	if !b.Lends() {
		return nil
	}
	b.asks = min(maxAsks, b.asks+asksPerSecond*now.Sub(b.asksAt).Seconds())
	b.asksAt = now
	b.expireAsks(now)
	for _, service := range b.services() {
		a := b.accounts[service]
		urgent, advance := b.shortfall(now, service)
		switch {
		case len(a.round) > 0:
		case urgent > 0:
			asks = append(asks, b.ask(now, service, urgent, true, b.pick(now, live, maxPerRound, intn))...)
		case advance > 0 && now.Sub(a.advanceAt) >= advanceInterval && b.asks >= maxAsks-maxPerRound:
			a.advanceAt = now
			asks = append(asks, b.ask(now, service, advance, false, b.pick(now, live, 1, intn))...)
		}
	}
	return asks
}

// ask registers requests of one round.
func (b *Budget) ask(now time.Time, service string, amount Credits, urgent bool, to []string) (asks []Ask) {
	for _, id := range to {
		b.lastSeq++
		b.asks--
		ask := &Ask{To: id, Seq: b.lastSeq, Service: service, Amount: amount, Urgent: urgent, sentAt: now}
		b.pending[ask.Seq] = ask
		b.accounts[service].round = append(b.accounts[service].round, ask)
		b.Counts.Asked++
		asks = append(asks, *ask)
	}
	return asks
}

// pick picks at most n daemons at random. It avoids those that had too little to lend.
func (b *Budget) pick(now time.Time, live func() []string, n int, intn func(int) int) []string {
	if b.asks < 1 {
		return nil
	}
	candidates := slices.DeleteFunc(live(), func(id string) bool { return now.Before(b.avoid[id]) })
	n = min(n, len(candidates), max(0, int(b.asks)))
	for i := range n {
		j := i + intn(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// services returns the services in a fixed order, so that decisions can be repeated.
func (b *Budget) services() []string {
	out := make([]string, 0, len(b.accounts))
	for service := range b.accounts {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// Receive handles the answer to a request. It counts once, and only while the loan is valid.
func (b *Budget) Receive(now time.Time, seq uint64, granted Credits) {
	ask := b.take(seq)
	if ask == nil {
		return
	}
	granted = min(granted, ask.Amount)
	if ask.Urgent && granted < ask.Amount {
		b.avoid[ask.To] = now.Add(avoidTime)
	}
	until := ask.sentAt.Add(validity)
	if granted <= 0 || !now.Before(until) {
		return
	}
	a := b.accounts[ask.Service]
	a.borrowed = append(a.borrowed, &borrowed{from: ask.To, seq: seq, until: until, left: granted})
	b.Counts.Borrowed++
}

// Fail handles a request without an answer. unable is set if the daemon's build does not lend.
func (b *Budget) Fail(now time.Time, seq uint64, unable bool) {
	ask := b.take(seq)
	switch {
	case ask == nil:
	case unable:
		b.avoid[ask.To] = now.Add(unableTime)
	default:
		b.avoid[ask.To] = now.Add(avoidTime)
	}
}

// take removes a request that may be answered, and returns it.
func (b *Budget) take(seq uint64) *Ask {
	ask := b.pending[seq]
	if ask != nil {
		delete(b.pending, seq)
		b.endRound(ask)
	}
	return ask
}

func (b *Budget) endRound(ask *Ask) {
	a := b.accounts[ask.Service]
	a.round = slices.DeleteFunc(a.round, func(o *Ask) bool { return o == ask })
}

// expireAsks gives up the requests of rounds without replies, and forgets those whose loans are no
// longer valid.
func (b *Budget) expireAsks(now time.Time) {
	for seq, ask := range b.pending {
		if now.Sub(ask.sentAt) >= roundTimeout {
			b.endRound(ask)
		}
		if now.Sub(ask.sentAt) >= validity {
			delete(b.pending, seq)
		}
	}
	for id, until := range b.avoid {
		if !now.Before(until) {
			delete(b.avoid, id)
		}
	}
}

// PlanReturns returns the credits to give back now: those that expired, and those that no stream
// needs.
func (b *Budget) PlanReturns(now time.Time) (returns []Return) {
	for _, service := range b.services() {
		a := b.accounts[service]
		if len(a.borrowed) == 0 {
			continue
		}
		urgent, advance := b.shortfall(now, service)
		excess := -max(urgent, advance)
		for _, o := range slices.Backward(a.borrowed) {
			n := o.left
			if now.Before(o.until) {
				n = min(n, max(0, excess))
				excess -= n
			}
			if n < minReturn {
				continue
			}
			o.left -= n
			o.returned += n
			returns = append(returns, Return{To: o.from, Seq: o.seq, Service: service, Amount: o.returned})
			b.Counts.Returned++
		}
		a.borrowed = slices.DeleteFunc(a.borrowed, func(o *borrowed) bool { return !now.Before(o.until) })
	}
	return returns
}

// NextAt returns when PlanAsks and PlanReturns are due again if nothing else happens, and the zero
// time if they are not.
func (b *Budget) NextAt(now time.Time) (next time.Time) {
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, service := range b.services() {
		a := b.accounts[service]
		for _, o := range a.borrowed {
			earliest(o.until)
		}
		for _, ask := range a.round {
			earliest(ask.sentAt.Add(roundTimeout))
		}
		urgent, advance := b.shortfall(now, service)
		switch {
		case !b.Lends() || len(a.round) > 0:
		case urgent > 0:
			earliest(now.Add(roundTimeout))
		case advance > 0:
			earliest(later(now.Add(advanceInterval/2), a.advanceAt.Add(advanceInterval)))
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

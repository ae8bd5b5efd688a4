package event

// Events of orders to targets: 800 to 899.
const (
	LeaseAcquired Number = 800
	LeaseLost     Number = 801
	OrderSent     Number = 802
	OrderFailed   Number = 803
)

var placementEntries = []Entry{
	{LeaseAcquired, "lease_taken", Info, "This daemon orders a service's targets about.", ""},
	{LeaseLost, "lease_lost", Warn, "This daemon stopped ordering a service's targets about.", ""},
	{OrderSent, "order_sent", Info, "A target was ordered to change what it serves.", ""},
	{OrderFailed, "order_failed", Warn, "An order failed; it is tried again later.", "See the target and the weight store."},
}

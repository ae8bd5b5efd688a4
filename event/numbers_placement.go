package event

// Events of orders to targets: 800 to 899.
const (
	LeaseAcquired Number = 800
	LeaseLost     Number = 801
	OrderSent     Number = 802
	OrderFailed   Number = 803
)

var placementEntries = []Entry{
	{LeaseAcquired, "lease_taken", Info, "This daemon acquired the lease to send orders to the targets of a service.", ""},
	{LeaseLost, "lease_lost", Warn, "This daemon no longer holds the lease to send orders to the targets of a service.", ""},
	{OrderSent, "order_sent", Info, "An order to change its models or role was sent to a target.", ""},
	{OrderFailed, "order_failed", Warn, "An order failed and will be retried.", "Check the target and the weight store."},
}

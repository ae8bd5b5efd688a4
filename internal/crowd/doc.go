// Package crowd tests the gateway daemon under many callers that are not under the
// operators' control: a real process, a store stand-in, a target and a crowd of hostile
// connections on loopback addresses.
package crowd

// Package design declares the HTTP interface of a vanillaroad daemon in the goa
// DSL. The generated code is committed under gen; "go generate ./design"
// reproduces it.
package design

//go:generate go tool goa gen github.com/vanillaroad/vanillaroad/design -o ..

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("vanillaroad", func() {
	Title("vanillaroad")
	Description("Serving of long model generations on engines that fail.")
	Server("vanillaroadd", func() {
		Services("directory", "generations", "confirmations", "operations")
		Host("local", func() { URI("http://127.0.0.1:7100") })
	})
})

// Failure is the error type of every method. It reports what happened, whether the
// request ran, and when to retry.
var Failure = Type("Failure", func() {
	Description("A typed error. Outcome tells whether the request ran.")
	ErrorName("name", String, "Error class, equal to the HTTP status class.")
	Attribute("code", String, "Stable machine-readable code.")
	Attribute("message", String, "Explanation for a person.")
	Attribute("outcome", String, "Whether the request ran.", func() { Enum("ran", "not_run", "unknown") })
	Attribute("retry_after_ms", Int64, "Milliseconds to wait before asking again; 0 when asking again is no use.")
	Attribute("step", String, "Processing step at which the error arose.")
	Attribute("peer", String, "Peer at which the error arose.")
	Attribute("addresses", ArrayOf(String), "Daemon addresses to use instead, if any.")
	Required("name", "code", "message", "outcome", "retry_after_ms", "step", "peer")
})

// commonErrors declares the errors that every method of a service can return.
func commonErrors() {
	Error("bad_request", Failure)
	Error("not_found", Failure)
	Error("conflict", Failure)
	Error("overloaded", Failure)
	Error("unavailable", Failure)
	Error("unknown_outcome", Failure)
}

// commonErrorResponses maps the common errors to HTTP statuses.
func commonErrorResponses() {
	Response("bad_request", StatusBadRequest)
	Response("not_found", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("overloaded", StatusTooManyRequests)
	Response("unavailable", StatusServiceUnavailable)
	Response("unknown_outcome", StatusBadGateway)
}

var DirectoryAnswer = Type("DirectoryAnswer", func() {
	Attribute("addresses", ArrayOf(String), "Daemon addresses, best first.")
	Attribute("ttl_ms", Int64, "Milliseconds the answer may be kept.")
	Required("addresses", "ttl_ms")
})

var _ = Service("directory", func() {
	Description("Tells callers which daemon addresses to use.")
	commonErrors()
	Method("lookup", func() {
		Payload(func() {
			Attribute("place", String, "Caller's place, to prefer daemons near it.")
			Attribute("key", String, "Stable caller key that spreads callers over daemons.")
		})
		Result(DirectoryAnswer)
		HTTP(func() {
			GET("/v1/directory")
			Param("place")
			Param("key")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
})

var GenerationEvent = Type("GenerationEvent", func() {
	Description("One server-sent event of an answer.")
	Attribute("cursor", String, "Opaque cursor; send it back as Last-Event-ID to resume.")
	Attribute("kind", String, "Event kind.", func() { Enum("token", "done", "incomplete") })
	Attribute("data", GenerationData)
	Required("cursor", "kind", "data")
})

var GenerationData = Type("GenerationData", func() {
	Attribute("position", Int64, "Position of the token, or the number of tokens when the answer ends.")
	Attribute("text", String, "Token text.")
	Attribute("code", String, "Why the answer is incomplete.")
	Attribute("message", String, "Explanation for a person.")
	Attribute("outcome", String, "Whether the request ran at a target.", func() { Enum("ran", "not_run", "unknown") })
	Attribute("retry_after_ms", Int64, "Milliseconds to wait before asking again.")
	Attribute("step", String, "Step at which the answer stopped.")
	Attribute("peer", String, "Peer at which the answer stopped.")
	Required("position")
})

var _ = Service("generations", func() {
	Description("Long model generations as resumable event streams.")
	commonErrors()
	Method("generate", func() {
		Payload(func() {
			Attribute("id", String, "Caller-chosen request id; resend it to join or resume.", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("workspace", String, "Workspace of the caller.")
			Attribute("service", String, "Service to call.")
			Attribute("prompt", String, "Prompt text.")
			Attribute("max_tokens", Int64, "Longest answer, in tokens.", func() {
				Minimum(1)
				Maximum(1000000)
			})
			Attribute("seed", Int64, "Sampling seed.")
			Attribute("priority", String, "Priority class.", func() {
				Enum("urgent", "normal", "batch")
				Default("normal")
			})
			Attribute("deadline_ms", Int64, "Milliseconds the caller waits for the first token; 0 for the workspace's default.")
			Attribute("labels", MapOf(String, String), "Labels that selectors match.")
			Attribute("held", ArrayOf(String), "Tokens the caller already holds, from position 0.")
			Attribute("last_event_id", String, "Cursor of the last event received.")
			Required("id", "workspace", "service", "prompt", "max_tokens")
		})
		StreamingResult(GenerationEvent)
		HTTP(func() {
			POST("/v1/generations")
			Header("last_event_id:Last-Event-ID")
			ServerSentEvents(func() {
				SSEEventID("cursor")
				SSEEventType("kind")
				SSEEventData("data")
			})
			commonErrorResponses()
		})
	})
	Method("cancel", func() {
		Payload(func() {
			Attribute("id", String, "Request id.")
			Required("id")
		})
		HTTP(func() {
			DELETE("/v1/generations/{id}")
			Response(StatusNoContent)
			commonErrorResponses()
		})
	})
})

var ConfirmationOutcome = Type("ConfirmationOutcome", func() {
	Attribute("key", String, "Idempotency key.")
	Attribute("outcome", String, "Whether the call ran.", func() { Enum("ran", "not_run", "unknown") })
	Attribute("status", Int, "Status the service answered with, when it ran.")
	Attribute("answer", String, "Body the service answered with, when it ran.")
	Attribute("retry_after_ms", Int64, "Milliseconds to wait before asking again.")
	Required("key", "outcome")
})

var _ = Service("confirmations", func() {
	Description("Non-idempotent calls that run at most once.")
	commonErrors()
	Method("confirm", func() {
		Payload(func() {
			Attribute("key", String, "Idempotency key issued by the daemon's issue method or built by the client library.", func() {
				MinLength(1)
				MaxLength(128)
			})
			Attribute("workspace", String, "Workspace of the caller.")
			Attribute("service", String, "Service to call.")
			Attribute("body", String, "Request body.")
			Attribute("deadline_ms", Int64, "Milliseconds the caller waits; 0 for the default.")
			Attribute("labels", MapOf(String, String), "Labels that selectors match.")
			Required("key", "workspace", "service", "body")
		})
		Result(ConfirmationOutcome)
		HTTP(func() {
			POST("/v1/confirmations")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("outcome", func() {
		Payload(func() {
			Attribute("key", String, "Idempotency key.")
			Required("key")
		})
		Result(ConfirmationOutcome)
		HTTP(func() {
			GET("/v1/confirmations/{key}")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("issue", func() {
		Description("Issues an idempotency key that carries its time of issue.")
		Result(func() {
			Attribute("key", String, "Idempotency key.")
			Required("key")
		})
		HTTP(func() {
			POST("/v1/confirmation-keys")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
})

var ApplyResult = Type("ApplyResult", func() {
	Attribute("version", Int64, "Accepted configuration version.")
	Attribute("lagging", ArrayOf(String), "Live daemons on which the version is not yet in force.")
	Attribute("changes", ArrayOf(String), "Entries that a dry run would change.")
	Required("version")
})

var _ = Service("operations", func() {
	Description("Operators' interface: configuration, status and events.")
	commonErrors()
	Method("apply", func() {
		Payload(func() {
			Attribute("document", Any, "Whole configuration document.")
			Attribute("base_version", Int64, "Version the change was made from; the change is refused when another won since. 0 for a first configuration.")
			Attribute("dry_run", Boolean, "Validate only.")
			Attribute("wait_ms", Int64, "Milliseconds to wait until the version is in force on all live daemons.")
			Attribute("author", String, "Who applies it.")
			Attribute("write_id", String, "Unique name of this change. The same change sent again under it is accepted at most once.", func() {
				MaxLength(96)
				Pattern("^[A-Za-z0-9_-]*$")
			})
			Required("document", "base_version")
		})
		Result(ApplyResult)
		HTTP(func() {
			POST("/v1/configuration")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("configuration", func() {
		Payload(func() {
			Attribute("version", Int64, "Version to read; 0 for the one in force here.")
		})
		Result(func() {
			Attribute("version", Int64)
			Attribute("document", Any)
			Required("version", "document")
		})
		HTTP(func() {
			GET("/v1/configuration")
			Param("version")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("history", func() {
		Result(ArrayOf(HistoryEntry))
		HTTP(func() {
			GET("/v1/configuration/history")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("status", func() {
		Result(Any)
		HTTP(func() {
			GET("/v1/status")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
	Method("drain", func() {
		Description("Starts a planned stop of this daemon: it leaves the directory and takes no new work once old directory answers have expired.")
		HTTP(func() {
			POST("/v1/drain")
			Response(StatusNoContent)
			commonErrorResponses()
		})
	})
	Method("events", func() {
		Payload(func() {
			Attribute("request", String, "Only events of this request.")
			Attribute("since", Int64, "Only events after this hybrid time.")
		})
		Result(ArrayOf(Event))
		HTTP(func() {
			GET("/v1/events")
			Param("request")
			Param("since")
			Response(StatusOK)
			commonErrorResponses()
		})
	})
})

var HistoryEntry = Type("HistoryEntry", func() {
	Attribute("version", Int64)
	Attribute("author", String)
	Attribute("at_ms", Int64, "Unix time in milliseconds.")
	Required("version", "author", "at_ms")
})

var Event = Type("Event", func() {
	Attribute("time", Int64, "Hybrid logical time: Unix milliseconds shifted left by 16 bits, plus a counter.")
	Attribute("node", String, "Daemon that saw the event.")
	Attribute("number", Int, "Event number in docs/EVENTS.md.")
	Attribute("name", String, "Event name.")
	Attribute("request", String, "Request the event belongs to, if any.")
	Attribute("fields", MapOf(String, String))
	Required("time", "node", "number", "name")
})

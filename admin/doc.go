// Package admin implements the HTTP API that a daemon offers to operators. Every
// daemon can serve every call, since all configuration is in the platform.
//
// Every call except the health checks and the metrics needs an operator's
// credential in the header Authorization: Bearer <credential>. The settings
// contain only its SHA-256 digest. A call without a valid credential is answered
// with status 401 and has no effect.
//
//	POST /plans               an edit (JSON with comments) -> a plan
//	POST /plans/{id}/confirm  the plan as it was returned -> the result
//	GET  /config              the configuration in force on this daemon
//	GET  /status              daemons, targets with verdicts, customers
//	GET  /audit?limit=20      the audit trail, newest first
//	GET  /live, /ready        health checks for the platform's load balancer
//	GET  /metrics             metrics in the Prometheus text format
//
// Errors are JSON objects with the fields kind, message and remedy. Their statuses
// are 400 (invalid), 401 (no credential), 404 (no such path), 409 (conflict: plan
// again), 502 (outcome unknown: confirm again), 503 (platform unavailable) and
// 500 (any other error).
//
// # Usage
//
//	a := admin.New(planner, source, admin.WithOperators(settings.Operators))
//	err := a.Server().Serve(listener)
package admin

// Package admin is the operators' HTTP API of a daemon. Any daemon serves it,
// since all state is in the platform.
//
// Every call but the health pages and the metrics needs an operator's
// credential: Authorization: Bearer <credential>. Settings hold its SHA-256
// digest only. A call without a valid credential gets 401 and changes nothing.
//
//	POST /plans               an edit (JSON with comments) -> a plan
//	POST /plans/{id}/confirm  the plan as it was returned -> the result
//	GET  /config              the configuration in force on this daemon
//	GET  /status              daemons, targets with verdicts, customers
//	GET  /audit?limit=20      the audit trail, newest first
//	GET  /live, /ready        for the platform's balancer
//	GET  /metrics             metrics in the Prometheus text format
//
// Errors are JSON with the fields kind, message and remedy. The statuses are
// 400 (invalid), 401 (no credential), 404 (no such path), 409 (conflict: plan
// again), 502 (outcome unknown: confirm again) and 503 (platform unavailable).
//
// # Usage
//
//	a := admin.New(planner, source, admin.WithOperators(settings.Operators))
//	err := a.Server().Serve(listener)
package admin

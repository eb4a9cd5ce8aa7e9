// Package once makes sure that a non-idempotent request runs at most once, even when its retries reach different entry
// instances. Each request ID has one owner among the members, whose table records which claimant may run the request.
package once

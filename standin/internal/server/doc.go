// Package server offers the stand-in's log, list, workers, faults and audit over HTTP and JSON.
package server

// Package reqs measures the latency and the processor time that an entry instance adds to a request, compared with
// calling the endpoints directly.
package reqs

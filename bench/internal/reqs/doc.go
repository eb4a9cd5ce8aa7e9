// Package reqs measures the time that an entry instance adds to a request against calling the endpoints directly.
package reqs

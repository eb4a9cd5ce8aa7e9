// Package peers carries calls between the nodes of a deployment: questions about jobs to their owner, and calls for
// placement advice that an owner spreads over the nodes.
package peers

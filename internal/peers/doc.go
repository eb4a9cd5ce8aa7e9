// Package peers implements the calls between the nodes of a deployment: queries about jobs and reports of nodes to the
// owner of the jobs, and advice calls that the owner distributes over the nodes.
package peers

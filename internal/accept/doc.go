// Package accept listens for connections, goes on when the process runs out of file descriptors, and ends the connections of a server
// that stops without cutting requests.
package accept

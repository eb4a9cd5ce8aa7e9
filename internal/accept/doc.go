// Package accept listens for connections and goes on when the process runs out of file descriptors.
package accept

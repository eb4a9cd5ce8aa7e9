// Command aw-node is a node on a platform: it serves clients and takes part in owning jobs and workers.
package main

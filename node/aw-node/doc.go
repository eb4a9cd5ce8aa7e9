// Command aw-node runs a node on a platform: it serves clients and may become the owner of the jobs and workers.
package main

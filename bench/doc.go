// Command aw-bench measures the cost and the scheduling quality of the system: cost as a function of size, a seeded
// workload compared with a simple baseline, and the latency that an entry instance adds to a request. It starts no
// processes.
package main

// Command aw-bench measures what the system costs and how well it schedules: slopes of cost over size, seeded mixes of
// work against a simple baseline, and the time that an entry instance adds to a request. It starts no process.
package main

// Command aw-standin simulates the platform for tests: its log, its instance list and its workers. It injects faults on
// request and audits every start for violations of the scheduler's guarantees.
package main

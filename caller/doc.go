// Command aw-caller is a load tool: it sends requests and jobs to entry instances and compares their answers with what
// the stand-ins' audits recorded.
package main

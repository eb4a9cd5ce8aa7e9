// Command aw-entry runs an entry instance, which serves clients and operators, schedules tasks on workers and
// maintains the list of members together with the other entry instances.
package main

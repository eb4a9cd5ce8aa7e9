package decl

import (
	"fmt"
	"math"
	"time"
	// Embeds the time zone database, so that all instances know the same zones even if the system has no zone files.
	_ "time/tzdata"

	"arbutuswing.example/internal/model"
	"arbutuswing.example/internal/strict"
)

// Problem is what is wrong with a declaration, with its place.
type Problem = strict.Problem

const (
	nameText = "must be kebab case, start with a letter and have at most 63 characters"
	hashText = "must be a SHA-256 in lower-case hexadecimal (64 digits)"
)

// Check validates a set and returns its problems in the order of its objects. A set without problems may be put in force.
func Check(set Set) []Problem {
	c := &checker{
		set: set.Indexed(), keys: make(map[model.KeyHash]model.TeamID),
		approvers: make(map[model.KeyHash]model.OrganisationID),
	}
	for i, organisation := range set.Organisations {
		c.startObject(organisationsKey, i, string(organisation.Name))
		c.checkOrganisation(organisation)
	}
	for i, team := range set.Teams {
		c.startObject(teamsKey, i, string(team.Name))
		c.checkTeam(team)
	}
	for i, class := range set.Classes {
		c.startObject(classesKey, i, string(class.Name))
		c.checkClass(class)
	}
	for i, centre := range set.DataCentres {
		c.startObject(dataCentresKey, i, string(centre.Name))
		c.checkDataCentre(centre)
	}
	if len(set.DataCentres) == 0 {
		c.path = ""
		c.addProblem(dataCentresKey, "at least one data centre must be declared")
	}
	return c.problems
}

type checker struct {
	set      Set
	path     string
	position int
	// keys and approvers map the team keys and approval keys seen so far to their holders.
	keys      map[model.KeyHash]model.TeamID
	approvers map[model.KeyHash]model.OrganisationID
	problems  []Problem
}

// startObject sets the path for the checks of an object. The path contains the object's position, or its name if the set
// was not parsed from files, because operators don't know the order of such a set.
func (c *checker) startObject(key string, i int, name string) {
	c.path, c.position = fmt.Sprintf("%s[%d]", key, i), i
	if _, parsed := c.set.index.origins[c.path]; !parsed {
		c.path = fmt.Sprintf("%s[%s]", key, name)
	}
}

func (c *checker) addProblem(rest, format string, args ...any) {
	c.problems = append(c.problems, c.set.problemAt(c.path, rest, fmt.Sprintf(format, args...)))
}

func (c *checker) require(holds bool, rest, text string) {
	if !holds {
		c.addProblem(rest, "%s", text)
	}
}

// checkName checks an object's name; first is the position of the first object with this name.
func (c *checker) checkName(name string, first int) {
	switch {
	case name == "":
		c.addProblem(".name", "must be set")
	case !ValidName(name):
		c.addProblem(".name", nameText)
	case first != c.position:
		c.addProblem(".name", "%q is declared twice", name)
	}
}

func (c *checker) checkOrganisation(o Organisation) {
	c.checkName(string(o.Name), c.set.index.organisations[o.Name])
	c.require(ValidKeyHash(o.ApprovalKey), ".approval-key", hashText)
	// With a shared key, one organisation could approve on behalf of the other.
	if holder, taken := c.approvers[o.ApprovalKey]; taken {
		c.addProblem(".approval-key", "the key is already that of organisation %q", holder)
	}
	c.approvers[o.ApprovalKey] = o.Name
}

func (c *checker) checkTeam(t Team) {
	c.checkName(string(t.Name), c.set.index.teams[t.Name])
	if _, known := c.set.Organisation(t.Organisation); !known {
		c.addProblem(".organisation", "unknown organisation %q", t.Organisation)
	}
	c.require(t.Share > 0 && !math.IsInf(t.Share, 0), ".share", "must be greater than 0")
	c.checkLimit(t.Limit)
	for i, key := range t.Keys {
		c.checkKey(t, fmt.Sprintf(".keys[%d]", i), key)
	}
}

// checkKey rejects a key that is granted twice, because the key in a call identifies the calling team.
func (c *checker) checkKey(t Team, path string, key model.KeyHash) {
	c.require(ValidKeyHash(key), path, hashText)
	holder, taken := c.keys[key]
	switch {
	case taken && holder == t.Name:
		c.addProblem(path, "the key is listed twice")
	case taken:
		c.addProblem(path, "the key is already granted to team %q", holder)
	}
	c.keys[key] = t.Name
}

func (c *checker) checkLimit(l Limit) {
	const negative = "must not be negative"
	c.require(l.Resources.Cores >= 0, ".limit.resources.milli-cores", negative)
	c.require(l.Resources.Memory >= 0, ".limit.resources.memory-mib", negative)
	c.require(l.Resources.Accelerators >= 0, ".limit.resources.accelerators", negative)
	c.require(l.Tasks >= 0, ".limit.tasks", negative)
}

func (c *checker) checkClass(class Class) {
	c.checkName(string(class.Name), c.set.index.classes[class.Name])
	target, targets := class.Target, 0
	if target.AnsweredWithin != 0 {
		targets++
		c.require(target.AnsweredWithin > 0, ".target.answered-within", "must be positive")
	}
	if target.StartedWithin != 0 {
		targets++
		c.require(target.StartedWithin > 0, ".target.started-within", "must be positive")
	}
	if target.DoneBy != nil {
		targets++
		c.checkDoneBy(*target.DoneBy)
	}
	c.require(targets <= 1, ".target", "at most one of answered-within, started-within and done-by may be set")
}

func (c *checker) checkDoneBy(d DoneBy) {
	c.require(clockTime.MatchString(d.Time), ".target.done-by.time", "must be a time of day from 00:00 to 23:59")
	// The empty name and "Local" are refused, because the time zone would depend on the machine.
	if d.Zone == "" || d.Zone == "Local" {
		c.addProblem(".target.done-by.zone", "must be a time zone such as \"UTC\" or \"Asia/Kolkata\"")
		return
	}
	if _, err := time.LoadLocation(d.Zone); err != nil {
		c.addProblem(".target.done-by.zone", "unknown time zone %q", d.Zone)
	}
}

func (c *checker) checkDataCentre(d DataCentre) {
	c.checkName(string(d.Name), c.set.index.dataCentres[d.Name])
	c.require(ValidName(d.Region), ".region", nameText)
	switch d.Service {
	case "", InService, OutOfService, Lost:
	default:
		c.addProblem(".service", "must be %q, %q or %q", InService, OutOfService, Lost)
	}
}

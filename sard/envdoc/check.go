package envdoc

import (
	"fmt"
	"math"
	"path"
	"regexp"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Upper bounds for the values of a document. They are inclusive.
const (
	// MaxGuaranteeSize bounds Guarantee.Accelerators.
	MaxGuaranteeSize = ident.Accelerators(256)
	// MaxGuaranteeCount bounds Guarantee.Count.
	MaxGuaranteeCount = 4_096
	// MaxWeight bounds Account.Weight.
	MaxWeight = 1_000
	// MaxAccounts bounds the number of client accounts.
	MaxAccounts = 1_000
	// MaxRoutes bounds the number of routes.
	MaxRoutes = 1_000
	// MaxQueueLimit bounds the fields named MaxQueuedJobs and MaxWaitingRequests.
	MaxQueueLimit = 1_000_000
	// MaxBodyBytes bounds Limits.MaxBody and Route.MaxBody.
	MaxBodyBytes = int64(64 << 20)
	// MaxTimeout bounds Route.Timeout.
	MaxTimeout = ident.Duration(time.Hour)
	// MaxCheckpointGrace bounds Limits.CheckpointGrace.
	MaxCheckpointGrace = ident.Duration(time.Hour)
	// MaxProvenFor bounds Promotion.ProvenFor.
	MaxProvenFor = ident.Duration(30 * 24 * time.Hour)
)

// namePattern matches the names of accounts and routes.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker validates the values of a decoded document. It adds its problems to those found by the decoder.
type checker struct{ *decoder }

// checkDocument validates all sections of a document.
func (c checker) checkDocument(doc *Document) {
	c.checkObjective(doc.Objective)
	c.checkAccounts(doc.Accounts)
	c.checkRoutes(doc.Routes)
	c.checkLimits(doc.Limits)
	checkRange(c, "Promotion.ProvenFor", doc.Promotion.ProvenFor, 0, MaxProvenFor)
}

// checkObjective validates the weights of the placement objective.
func (c checker) checkObjective(o Objective) {
	c.checkWeight("Objective.CompletionTime", o.CompletionTime)
	c.checkWeight("Objective.Fragmentation", o.Fragmentation)
}

// checkWeight adds a problem unless weight is finite and not negative.
func (c checker) checkWeight(field string, weight float64) {
	if weight < 0 || math.IsNaN(weight) || math.IsInf(weight, 0) {
		c.addProblem(field, "must be a finite number, 0 or greater")
	}
}

// checkAccounts validates the accounts. Their names must be unique.
func (c checker) checkAccounts(accounts []Account) {
	if len(accounts) == 0 {
		c.addProblem("Accounts", "at least one client account is required")
	}
	checkRange(c, "Accounts", len(accounts), 0, MaxAccounts)
	seen := map[ident.Account]string{}
	for i, a := range accounts {
		field := fmt.Sprintf("Accounts[%d]", i)
		c.checkName(field+".Name", string(a.Name))
		if first, ok := seen[a.Name]; ok && a.Name != "" {
			c.addProblem(field+".Name", fmt.Sprintf("%s is already used by %s", quote(string(a.Name)), first))
		} else {
			seen[a.Name] = field
		}
		checkRange(c, field+".Weight", a.Weight, 0, MaxWeight)
		checkRange(c, field+".MaxQueuedJobs", a.MaxQueuedJobs, 0, MaxQueueLimit)
		checkRange(c, field+".MaxWaitingRequests", a.MaxWaitingRequests, 0, MaxQueueLimit)
		c.checkGuarantees(field, a.Guarantees)
	}
}

// checkGuarantees validates the guarantees of the account at a path. Their sizes must be unique.
func (c checker) checkGuarantees(account string, guarantees []Guarantee) {
	seen := map[ident.Accelerators]bool{}
	for i, g := range guarantees {
		field := fmt.Sprintf("%s.Guarantees[%d]", account, i)
		checkRange(c, field+".Accelerators", g.Accelerators, 1, MaxGuaranteeSize)
		checkRange(c, field+".Count", g.Count, 0, MaxGuaranteeCount)
		if seen[g.Accelerators] {
			c.addProblem(field+".Accelerators", "duplicate size; increase Count of the existing guarantee instead")
		}
		seen[g.Accelerators] = true
	}
}

// checkRoutes validates the routes. Their names and paths must be unique.
func (c checker) checkRoutes(routes []Route) {
	checkRange(c, "Routes", len(routes), 0, MaxRoutes)
	names := map[ident.RouteName]string{}
	paths := map[string]string{}
	for i, r := range routes {
		field := fmt.Sprintf("Routes[%d]", i)
		c.checkName(field+".Name", string(r.Name))
		if first, ok := names[r.Name]; ok && r.Name != "" {
			c.addProblem(field+".Name", fmt.Sprintf("%s is already used by %s", quote(string(r.Name)), first))
		} else {
			names[r.Name] = field
		}
		c.checkPath(field, r.Path, paths)
		checkRange(c, field+".Timeout", r.Timeout, 0, MaxTimeout)
		checkRange(c, field+".MaxBody", r.MaxBody, 0, MaxBodyBytes)
	}
}

// checkPath checks that a path is clean and unique. One path may be a prefix of another, since requests are matched to
// the longest prefix.
func (c checker) checkPath(route, urlPath string, seen map[string]string) {
	field := route + ".Path"
	if urlPath == "" || urlPath[0] != '/' || path.Clean(urlPath) != urlPath {
		c.addProblem(field, `must start with "/", have no empty, "." or ".." segments and not end with "/"`)
		return
	}
	if first, ok := seen[urlPath]; ok {
		c.addProblem(field, fmt.Sprintf("%s is already used by %s", quote(urlPath), first))
		return
	}
	seen[urlPath] = route
}

// checkLimits validates the limits of the environment.
func (c checker) checkLimits(l Limits) {
	checkRange(c, "Limits.MaxQueuedJobs", l.MaxQueuedJobs, 0, MaxQueueLimit)
	checkRange(c, "Limits.MaxWaitingRequests", l.MaxWaitingRequests, 0, MaxQueueLimit)
	checkRange(c, "Limits.MaxBody", l.MaxBody, 0, MaxBodyBytes)
	checkRange(c, "Limits.CheckpointGrace", l.CheckpointGrace, 0, MaxCheckpointGrace)
}

// checkName adds a problem unless name matches namePattern.
func (c checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.addProblem(field, quote(name)+" is not a valid name: use 1 to 63 characters from a-z, 0-9 and -, and start and end with a letter or digit")
	}
}

// checkRange adds a problem unless value is from minimum to maximum.
func checkRange[T ~int | ~int64](c checker, field string, value, minimum, maximum T) {
	if value < minimum || value > maximum {
		c.addProblem(field, fmt.Sprintf("%v is out of range: must be from %v to %v", value, minimum, maximum))
	}
}

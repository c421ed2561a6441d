package soak

import (
	"slices"
	"sort"
	"strings"
)

// coverageMargin is the time after a fault within which a request still counts as exposed to it.
const coverageMargin = 0.2 // s

// coverage counts the requests that were exposed to each kind of fault, and to each pair of kinds. The caller holds the
// history's lock.
func (r *runner) coverage() map[string]int {
	count := map[string]int{}
	for _, req := range r.history.Requests {
		kinds := r.faultKindsDuring(req)
		for i, a := range kinds {
			count[a]++
			for _, b := range kinds[i+1:] {
				count[a+" x "+b]++
			}
		}
	}
	return count
}

// faultKindsDuring returns the kinds of fault that a request was exposed to, sorted.
func (r *runner) faultKindsDuring(req *request) []string {
	var kinds []string
	for _, f := range r.plan.Faults {
		concurrent := req.SentAt < f.To+coverageMargin && max(req.EndedAt, req.SentAt) > f.From
		if concurrent && r.affects(f, req) && !slices.Contains(kinds, string(f.Kind)) {
			kinds = append(kinds, string(f.Kind))
		}
	}
	sort.Strings(kinds)
	return kinds
}

// affects reports whether a fault targets the request's dispatcher or a worker that got an attempt of the request.
func (r *runner) affects(f Fault, req *request) bool {
	if f.Kind.targetsAll() {
		return true
	}
	if !f.Kind.targetsWorker() {
		return f.Target == req.Dispatcher
	}
	return slices.ContainsFunc(r.history.Attempts[req.ID], func(a *attempt) bool { return strings.HasPrefix(a.Worker, workerIDPrefix(f.Target)) })
}

package home

import "slices"

// Restore returns the registered VMs after the store has come back from a copy: those that it
// lists, and those known before that it lacks, which may have registered since the copy.
func Restore(listed, known []VM) []VM {
	all := slices.Clone(listed)
	for _, v := range known {
		if !slices.ContainsFunc(listed, func(l VM) bool { return l.Name == v.Name }) {
			all = append(all, v)
		}
	}
	return Alive(all)
}

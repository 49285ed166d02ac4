package cataloger

import "slices"

// WithEvacuated returns the view with the data centres whose targets must not get further calls; they replace those before. It returns
// v itself if they are the same.
func (v *View) WithEvacuated(dcs []string) *View {
	sorted := slices.Compact(slices.Sorted(slices.Values(dcs)))
	if slices.Equal(sorted, v.evacuated) {
		return v
	}
	n := *v
	n.evacuated = sorted
	return &n
}

// IsEvacuated reports whether the targets of a data centre must not get further calls.
func (v *View) IsEvacuated(dc string) bool {
	_, found := slices.BinarySearch(v.evacuated, dc)
	return found
}

// Evacuated returns the sorted data centres that are evacuated. The caller must not modify the slice.
func (v *View) Evacuated() []string { return v.evacuated }

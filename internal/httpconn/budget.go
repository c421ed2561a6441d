package httpconn

// MemoryBudget is a memory limit shared by several users. The zero value has no limit.
type MemoryBudget struct {
	Limit int64 // bytes; 0 means no limit
	Used  int64 // bytes
}

// Reserve adds n bytes to the bytes in use. It returns false and reserves nothing if the limit would be exceeded.
func (b *MemoryBudget) Reserve(n int64) bool {
	if b.Limit > 0 && b.Used+n > b.Limit {
		return false
	}
	b.Used += n
	return true
}

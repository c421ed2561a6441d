package platform

// The split of the platform's limits: descriptors among clients and workers, memory among what requests and models take.
const (
	reservedDescriptors     = 24 // for the listener, the change log, logs, the loop and the runtime
	reservedForWorkers      = 8  // of the reserve: first connections to workers may use them
	reservedForClients      = 3  // of the reserve: client connections that linger for their last response may use them
	clientDescriptorDivisor = 2  // clients get 1/2 of the descriptors: one in three is the platform's promise

	heapLimitFraction     = 0.55 // of the memory limit, beyond which Go collects all the time; the rest is outside the heap
	bodyMemoryFraction    = 0.25 // of the memory limit, for request bodies in flight
	requestMemoryFraction = 0.15 // of the memory limit, for requests in flight without their bodies
	modelMemoryFraction   = 0.1  // of the memory limit, for models

	bytesPerMB      = 1 << 20
	bytesPerRequest = 6 << 10 // that a request in flight takes beside its body
	bytesPerModel   = 1 << 10 // that a model in use takes, here and in the decisions
)

// memoryBytes returns a fraction of the memory limit in bytes.
func (f *ConfigFile) memoryBytes(fraction float64) float64 {
	return f.Limits.MemoryMB * bytesPerMB * fraction
}

// maxModels returns how many models may be in use.
func (f *ConfigFile) maxModels() int {
	return int(f.memoryBytes(modelMemoryFraction) / bytesPerModel)
}

// maxRequestsByMemory returns for how many requests in flight there is memory.
func (f *ConfigFile) maxRequestsByMemory() int {
	return int(f.memoryBytes(requestMemoryFraction) / bytesPerRequest)
}

// maxClientConns returns how many descriptors client connections may use.
func (f *ConfigFile) maxClientConns() int {
	const minimum = 8
	return max(minimum, f.Limits.Sockets/clientDescriptorDivisor)
}

// maxWorkerConns returns how many descriptors connections to workers may use.
func (f *ConfigFile) maxWorkerConns() int {
	return max(1, f.Limits.Sockets-f.maxClientConns()-reservedDescriptors)
}

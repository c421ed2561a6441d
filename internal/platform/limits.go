package platform

// Shares of the platform's limits: file descriptors for clients and workers, memory for requests and models.
const (
	reservedDescriptors     = 24 // descriptors kept for the listener, the change log, logs, the loop and the Go runtime
	reservedForWorkers      = 8  // of reservedDescriptors, usable for the first connection to a worker
	reservedForClients      = 3  // of reservedDescriptors, usable while client connections flush their last response
	clientDescriptorDivisor = 2  // clients may use 1/2 of the descriptors; the platform guarantees them 1/3

	heapLimitFraction     = 0.55 // of the memory limit, for the Go runtime: above it Go collects garbage continuously; the rest is not heap
	bodyMemoryFraction    = 0.25 // of the memory limit, for request bodies in flight
	requestMemoryFraction = 0.15 // of the memory limit, for requests in flight without their bodies
	modelMemoryFraction   = 0.1  // of the memory limit, for models

	bytesPerMB      = 1 << 20
	bytesPerRequest = 6 << 10 // of memory for a request in flight, without its body
	bytesPerModel   = 1 << 10 // of memory for a model in use, in the gateway and in the control module
)

// memoryBytes returns a fraction of the memory limit in bytes.
func (f *ConfigFile) memoryBytes(fraction float64) float64 {
	return f.Limits.MemoryMB * bytesPerMB * fraction
}

// maxModels returns how many models may be in use.
func (f *ConfigFile) maxModels() int {
	return int(f.memoryBytes(modelMemoryFraction) / bytesPerModel)
}

// maxRequestsByMemory returns how many requests in flight fit in the memory limit.
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

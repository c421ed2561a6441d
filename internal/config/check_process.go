package config

import "strings"

// process checks the settings of the process as a whole.
func (c *checker) process(cfg *Config) {
	c.listenAddress("listen", cfg.Listen)
	if cfg.Admin != "off" {
		c.listenAddress("admin", cfg.Admin)
	}
	if cfg.Listen == cfg.Admin && !strings.HasSuffix(cfg.Listen, ":0") {
		c.report("admin", "is the same address as listen: write another port, or off")
	}
	if !isValidName(cfg.Name) {
		c.report("name", "%q is not a valid name: write letters, digits, dots, dashes and underscores only", cfg.Name)
	}
	c.between("dispatchers", float64(cfg.Dispatchers), 1, 10000, "")
	c.duration("tick", cfg.Tick, 0.0001, 0.1)
	c.duration("stop_grace", cfg.StopGrace, 0, 3600)
}

func (c *checker) listenAddress(path, address string) {
	if !isAddress(address) {
		c.report(path, "%q is no address: write IP:PORT, such as 127.0.0.1:8080 or [::1]:8080", address)
	}
}

// isValidName reports whether name can be part of a request id.
func isValidName(name string) bool {
	for _, char := range name {
		if !isNameChar(char) {
			return false
		}
	}
	return name != ""
}

func isNameChar(char rune) bool {
	isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
	isDigit := char >= '0' && char <= '9'
	return isLetter || isDigit || char == '.' || char == '-' || char == '_'
}

func (c *checker) log(log *Log) {
	c.oneOf("log.level", log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", log.Format, "json", "text")
	c.between("log.sample", float64(log.Sample), 0, 1e9, "")
}

func (c *checker) limits(limits *Limits) {
	c.between("limits.connections", float64(limits.Connections), 1, 1e6, "")
	c.between("limits.inferences", float64(limits.Requests), 1, 1e6, "")
	c.between("limits.worker_connections", float64(limits.WorkerConnections), 1, 1e5, "")
	c.between("limits.worker_idle", float64(limits.MaxIdleWorkerConnections), 1, 1e5, "")
	c.size("limits.body", limits.Body, 1)
	c.size("limits.memory", limits.Memory, 1<<16)
	c.size("limits.answer", limits.Response, 1024)
	c.size("limits.head", limits.Head, 1024)
	if limits.Body.Bytes > limits.Memory.Bytes {
		c.report("limits.body", "one body may be larger than the memory for all: write a smaller body or more memory")
	}
	c.duration("limits.idle_timeout", limits.IdleTimeout, 0.1, 3600)
	c.duration("limits.head_timeout", limits.HeadTimeout, 0.1, 3600)
	c.duration("limits.body_timeout", limits.BodyTimeout, 0.1, 3600)
	c.duration("limits.worker_idle_timeout", limits.WorkerIdleTimeout, 0.1, 3600)
	c.duration("limits.connect_timeout", limits.ConnectTimeout, 0.001, 60)
}

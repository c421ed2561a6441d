package config

// Default returns the values of settings that a file does not contain. They suit a single machine.
func Default() Config {
	return Config{
		Name: "d0", Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081",
		Dispatchers: 1, Tick: Seconds(0.001), StopGrace: Seconds(10),
		Log:              Log{Level: "info", Format: "text", Sample: 1000},
		Discovery:        Discovery{Mode: "push", PollInterval: Seconds(1), MaxDelay: Seconds(7)},
		Rules:            Rules{DrainGrace: Seconds(1), SlowStartCapacity: 0.2, SlowStartDuration: Seconds(15), OverloadFactor: 2, OverloadWindow: Seconds(1), MaxDiscoveryBackoff: Seconds(10)},
		Loads:            Loads{OnMiss: "load", SendLoadRequests: true, KeepAlive: Seconds(8), Timeout: Seconds(10)},
		Attempts:         Attempts{Max: 3, Hedging: true, Cancel: true, MaxRetryAfter: Seconds(1)},
		LoadReportFields: []string{"inflight", "queue"},
		Limits: Limits{
			Connections: 16000, Requests: 20000,
			Body: Bytes(8 << 20), Memory: Bytes(512 << 20), Response: Bytes(1 << 20), Head: Bytes(32 << 10),
			IdleTimeout: Seconds(60), HeadTimeout: Seconds(10), BodyTimeout: Seconds(30),
			WorkerConnections: 256, MaxIdleWorkerConnections: 64, WorkerIdleTimeout: Seconds(15), ConnectTimeout: Seconds(0.25),
		},
	}
}

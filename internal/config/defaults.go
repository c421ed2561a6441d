package config

// Default returns the settings that apply where a file has none. They suit a single machine.
func Default() Config {
	return Config{
		Name: "d0", Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081",
		Dispatchers: 1, Tick: S(0.001), StopGrace: S(10),
		Log:      Log{Level: "info", Format: "text", Sample: 1000},
		Roster:   Roster{Discovery: "push", Every: S(1)},
		Rules:    Rules{DrainGrace: S(1), ColdShare: 0.2, WarmAfter: S(15), OverloadFactor: 2, Fall: S(1), AskEvery: S(10)},
		Loads:    Loads{OnMiss: "load", Orders: true, Keep: S(8), Timeout: S(10)},
		Attempts: Attempts{Most: 3, Hedging: true, Cancel: true, MaxRetryAfter: S(1)},
		Report:   []string{"inflight", "queue"},
		Limits: Limits{
			Connections: 16000, Requests: 20000,
			Body: B(8 << 20), Memory: B(512 << 20), Answer: B(1 << 20), Head: B(32 << 10),
			IdleTimeout: S(60), HeadTimeout: S(10), BodyTimeout: S(30),
			WorkerConnections: 256, WorkerIdle: 64, WorkerIdleTimeout: S(15), ConnectTimeout: S(0.25),
		},
	}
}

package platform

import (
	"strconv"

	"mastchute/internal/config"
)

// Defaults of gateway settings that the platform's settings leave out.
const (
	defaultMaxRequests = 20000 // requests in flight
	defaultMaxStreams  = 32    // calls in flight on a connection to a worker
	defaultSLO         = 1.0   // s, latency objective of a model group
	defaultTimeout     = 60.0  // s, of a request to a model group
)

// gatewayConfig converts the platform's settings to a gateway configuration.
func (f *ConfigFile) gatewayConfig() *config.Config {
	cfg := config.Default()
	cfg.Name = f.Name
	cfg.Log.Sample = 0
	cfg.Discovery.Mode = f.settings.Discovery.Mode.String()
	cfg.Discovery.MaxDelay = config.Seconds(f.maxListDelay)
	for i, group := range f.settings.Groups {
		cfg.Groups = append(cfg.Groups, config.Group{
			Name:        f.groupName(i),
			Effect:      group.Effect.String(),
			DedupScope:  group.Scope.String(),
			DedupWindow: config.Seconds(group.Window),
			SLO:         config.Seconds(group.SLO.Or(defaultSLO)),
			Timeout:     config.Seconds(group.Timeout.Or(defaultTimeout)),
		})
	}
	for i := range f.settings.Tenants {
		cfg.Tenants = append(cfg.Tenants, config.Tenant{Name: f.settingValues.Text("tenants." + strconv.Itoa(i) + ".name")})
	}
	cfg.LoadReportFields = f.settings.LoadReportFields
	cfg.Loads.Timeout = config.Seconds(f.positiveOr("models.order_timeout", cfg.Loads.Timeout.Seconds))
	cfg.Limits.Requests = min(int(f.positiveOr("limits.open_cap", defaultMaxRequests)), f.maxRequestsByMemory())
	cfg.Limits.ConnectTimeout = config.Seconds(f.positiveOr("limits.connect_timeout", cfg.Limits.ConnectTimeout.Seconds))
	cfg.Limits.WorkerIdleTimeout = config.Seconds(f.positiveOr("limits.conn_idle", cfg.Limits.WorkerIdleTimeout.Seconds))
	return &cfg
}

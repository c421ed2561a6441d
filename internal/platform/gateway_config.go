package platform

import (
	"strconv"

	"mastchute/internal/config"
)

// Settings of the gateway that are used where the platform's settings have none.
const (
	defaultMaxRequests = 20000 // in flight
	defaultMaxStreams  = 32    // calls in flight on a connection to a worker
	defaultSLO         = 1.0   // s, of a model group
	defaultTimeout     = 60.0  // s, of a model group
)

// gatewayConfig returns the gateway's configuration for the settings.
func (f *ConfigFile) gatewayConfig() *config.Config {
	cfg := config.Default()
	cfg.Name = f.Name
	cfg.Log.Sample = 0
	cfg.Roster.Discovery = f.settings.Discovery.Mode.String()
	for i, group := range f.settings.Groups {
		cfg.Groups = append(cfg.Groups, config.Group{
			Name:    f.groupName(i),
			Effect:  group.Effect.String(),
			Scope:   group.Scope.String(),
			Window:  config.S(group.Window),
			SLO:     config.S(group.SLO.Or(defaultSLO)),
			Timeout: config.S(group.Timeout.Or(defaultTimeout)),
		})
	}
	for i := range f.settings.Tenants {
		cfg.Tenants = append(cfg.Tenants, config.Tenant{Name: f.settingValues.Text("tenants." + strconv.Itoa(i) + ".name")})
	}
	cfg.Report = f.settings.LoadReportFields
	cfg.Loads.Timeout = config.S(f.positiveOr("models.order_timeout", cfg.Loads.Timeout.Seconds))
	cfg.Limits.Requests = min(int(f.positiveOr("limits.open_cap", defaultMaxRequests)), f.maxRequestsByMemory())
	cfg.Limits.ConnectTimeout = config.S(f.positiveOr("limits.connect_timeout", cfg.Limits.ConnectTimeout.Seconds))
	cfg.Limits.WorkerIdleTimeout = config.S(f.positiveOr("limits.conn_idle", cfg.Limits.WorkerIdleTimeout.Seconds))
	return &cfg
}

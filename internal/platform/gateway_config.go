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
	c := config.Default()
	c.Name = f.Name
	c.Log.Sample = 0
	c.Roster.Discovery = f.settings.Discovery.Mode.String()
	for i, group := range f.settings.Groups {
		c.Groups = append(c.Groups, config.Group{
			Name:    f.groupName(i),
			Effect:  group.Effect.String(),
			Scope:   group.Scope.String(),
			Window:  config.S(group.Window),
			SLO:     config.S(group.SLO.Or(defaultSLO)),
			Timeout: config.S(group.Timeout.Or(defaultTimeout)),
		})
	}
	for i := range f.settings.Tenants {
		c.Tenants = append(c.Tenants, config.Tenant{Name: f.settingValues.Text("tenants." + strconv.Itoa(i) + ".name")})
	}
	c.Report = f.settings.LoadReportFields
	c.Loads.Timeout = config.S(f.positiveOr("models.order_timeout", c.Loads.Timeout.Seconds))
	c.Limits.Requests = min(int(f.positiveOr("limits.open_cap", defaultMaxRequests)), f.maxRequestsByMemory())
	c.Limits.ConnectTimeout = config.S(f.positiveOr("limits.connect_timeout", c.Limits.ConnectTimeout.Seconds))
	c.Limits.WorkerIdleTimeout = config.S(f.positiveOr("limits.conn_idle", c.Limits.WorkerIdleTimeout.Seconds))
	return &c
}

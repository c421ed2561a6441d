package control

// The host assigns identifiers, which have no meaning beyond identity. Each kind has its own type.

// RequestID identifies a request in flight at this dispatcher.
type RequestID uint32

// WorkerID identifies a worker. It is the same at all dispatchers, as preferred workers are chosen by its hash.
type WorkerID uint64

// ModelID identifies a model. It is the same at all dispatchers.
type ModelID uint64

// GroupID identifies a model group. It is the index of the group's settings.
type GroupID uint16

// TenantID identifies a tenant. It is the index of the tenant's settings; an index without settings stands for no tenant.
type TenantID uint16

// ZoneID identifies a zone.
type ZoneID uint16

// KindID identifies a kind of worker.
type KindID uint8

// CellID identifies a cell within a zone.
type CellID uint16

// PeerID identifies another dispatcher.
type PeerID uint16

// TimerID identifies a timer.
type TimerID uint32

// AllPeers addresses a message to every peer.
const AllPeers = PeerID(0xffff)

package control

// Each kind of identifier has a type of its own. Identifiers carry no meaning beyond identity; the host assigns them.

// RequestID identifies a request in flight at this dispatcher.
type RequestID uint32

// WorkerID identifies a worker, the same at all dispatchers: preferred workers are chosen by a hash of it.
type WorkerID uint64

// ModelID identifies a model, the same at all dispatchers.
type ModelID uint64

// GroupID identifies a model group: the index of its settings.
type GroupID uint16

// TenantID identifies a tenant: the index of its settings. An index without settings means no tenant.
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

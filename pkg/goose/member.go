package goose

import "time"

// Member is one entry instance as others see it.
type Member struct {
	Instance   InstanceID `cbor:"1,keyasint" json:"instance"`
	DataCentre DataCentre `cbor:"2,keyasint" json:"data-centre"`
	// Address is the address of the instance's peer link, host:port.
	Address string `cbor:"3,keyasint" json:"address"`
	// Incarnation increases with each start of the instance.
	Incarnation int64 `cbor:"4,keyasint" json:"incarnation"`
	// Version is the configuration version in force on the instance.
	Version int64            `cbor:"5,keyasint" json:"version"`
	Pools   []DispatchedPool `cbor:"6,keyasint" json:"pools,omitempty"`
	Leaving bool             `cbor:"7,keyasint" json:"leaving,omitempty"`
	// LastHeard is when the last message of the member arrived, by the local
	// clock.
	LastHeard time.Time `cbor:"-" json:"-"`
	// Live is false once the member has been silent for the failure timeout.
	Live bool `cbor:"-" json:"live"`
}

// DispatchedPool is a pool that a member dispatches.
type DispatchedPool struct {
	Pool  Pool         `cbor:"1,keyasint" json:"pool"`
	Epoch Epoch        `cbor:"2,keyasint" json:"epoch"`
	Mode  DispatchMode `cbor:"3,keyasint" json:"mode"`
}

// Membership is a lock-free view of the fleet.
type Membership interface {
	Self() Member
	// Members returns all known members, including this instance, ordered by name.
	Members() []Member
	// Dispatcher returns the live member that dispatches the pool with the
	// newest epoch.
	Dispatcher(Pool) (Member, bool)
}

// OrderState is the state of an Order.
type OrderState string

// States of orders.
const (
	OrderClaimed OrderState = "claimed"
	OrderDone    OrderState = "done"
	OrderNotRun  OrderState = "not-run"
	OrderUnknown OrderState = "unknown"
)

// OrderKey identifies an order.
type OrderKey struct {
	Workspace WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	Service   ServiceName   `cbor:"2,keyasint" json:"service"`
	// Key is the caller's Idempotency-Key.
	Key string `cbor:"3,keyasint" json:"key"`
}

// Order is the store's record of one order: a request that must run at most once.
type Order struct {
	Key   OrderKey   `cbor:"1,keyasint" json:"key"`
	State OrderState `cbor:"2,keyasint" json:"state"`
	// Nonce is random for each claim; it identifies the claim that took effect.
	Nonce    string     `cbor:"3,keyasint" json:"nonce"`
	BodyHash string     `cbor:"4,keyasint" json:"body-hash"`
	Instance InstanceID `cbor:"5,keyasint" json:"instance"`
	Attempt  AttemptID  `cbor:"6,keyasint" json:"attempt"`
	Time     time.Time  `cbor:"7,keyasint" json:"time"`
	// Answer is stored only if it is small enough.
	Answer PlainResponse `cbor:"8,keyasint" json:"answer"`
	// AnswerKept is set if the answer is stored.
	AnswerKept bool `cbor:"9,keyasint" json:"kept"`
	// SettledBy is the name of the operator who settled an unknown order.
	SettledBy string `cbor:"10,keyasint" json:"settled,omitempty"`
	// Revision is the mod revision of the record; it is not part of the record.
	Revision int64 `cbor:"-" json:"-"`
}

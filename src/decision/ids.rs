//! Identifiers of the decision module. Only their equality and order matter.

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}

id!(/// A request as this gateway received it. A retry by the client gets a new identifier.
    RequestId, u64);
id!(/// A customer. All gateways share the customer's quota.
    CustomerId, u64);
id!(/// An endpoint; its identifier is the same at every gateway.
    EndpointId, u64);
id!(/// Index into [`Settings::classes`](super::Settings::classes).
    ClassId, usize);
id!(/// Index into [`Settings::plans`](super::Settings::plans).
    PlanId, usize);
id!(/// A zone, numbered in the order in which this gateway first saw it.
    ZoneId, u32);
id!(/// A release label of endpoints, numbered in the order in which this gateway first saw it.
    LabelId, u32);
id!(/// A group of endpoints that share a record of the idempotency keys they have processed.
    CellId, u64);
id!(/// A counter of the counter service.
    CounterKey, u64);
id!(/// A timer; the decision module assigns the identifier.
    TimerId, u64);

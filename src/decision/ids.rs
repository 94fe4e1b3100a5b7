//! Identifiers. They carry no meaning beyond equality and order.

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    };
}

id!(/// A request, as this gateway received it; a client's retry is another one.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// An endpoint of the back end; every gateway knows it by the same number.
    EndpointId, u64);
id!(/// An index into [`Settings::classes`](super::Settings::classes).
    ClassId, usize);
id!(/// An index into [`Settings::plans`](super::Settings::plans).
    PlanId, usize);
id!(/// A zone, numbered as this gateway met it.
    ZoneId, u32);
id!(/// A release label of endpoints, numbered as this gateway met it.
    LabelId, u32);
id!(/// A group of endpoints that share the idempotency keys that they have seen.
    CellId, u64);
id!(/// A number kept by the counter service.
    CounterKey, u64);
id!(/// A timer, chosen by the decision module.
    TimerId, u64);

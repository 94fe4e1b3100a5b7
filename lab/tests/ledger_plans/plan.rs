//! What happens in a plan: faults, and what clients ask for.

use crate::simulation::{RECORDS, SEATS};
use proptest::prelude::*;

/// A fault, at a gateway or on the network.
#[derive(Debug, Clone)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Pause(usize, bool),
    Cut(usize, usize),
    /// Nobody hears it, or it hears nobody, or both.
    Isolate(usize, bool, bool),
    Heal,
    /// Loss and doubles in percent, the longest delay in milliseconds.
    Network(u8, u8, u16),
}

pub fn fault() -> impl Strategy<Value = Fault> {
    let one = 0..SEATS;
    prop_oneof![
        3 => one.clone().prop_map(Fault::Kill),
        3 => one.clone().prop_map(Fault::Start),
        3 => (one.clone(), any::<bool>()).prop_map(|(i, on)| Fault::Pause(i, on)),
        2 => (one.clone(), one.clone()).prop_map(|(i, j)| Fault::Cut(i, j)),
        5 => (one, any::<bool>(), any::<bool>()).prop_map(|(i, to, from)| Fault::Isolate(i, to, from)),
        2 => Just(Fault::Heal),
        2 => (0..40u8, 0..30u8, 0..400u16).prop_map(|(l, d, ms)| Fault::Network(l, d, ms)),
    ]
}

/// What a client wants: a record at a gateway, after how long its work is sent and done, and whether it ends with an
/// answer.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub after: u16,
    pub seat: usize,
    pub record: u64,
    pub delay_ms: u16,
    pub work_ms: u16,
    pub answers: bool,
}

pub fn client_request() -> impl Strategy<Value = ClientRequest> {
    (0..120u16, 0..SEATS, 0..RECORDS, 0..60u16, 0..900u16, any::<bool>()).prop_map(
        |(after, seat, record, delay_ms, work_ms, answers)| ClientRequest {
            after,
            seat,
            record,
            delay_ms,
            work_ms,
            answers,
        },
    )
}

/// Each after so many milliseconds.
pub type Steps = Vec<(u16, Result<ClientRequest, Fault>)>;

pub fn plan() -> impl Strategy<Value = (u64, Steps)> {
    let step = prop_oneof![
        5 => client_request().prop_map(|w| (w.after, Ok(w))),
        1 => (0..700u16, fault()).prop_map(|(after, fault)| (after, Err(fault))),
    ];
    (any::<u64>(), prop::collection::vec(step, 5..90))
}
